package load

import (
	"bufio"
	"os"
	"strconv"
	"strings"
	"time"

	"brackendale/internal/console"
)

// fired asks a sender's console how many timers have come due.
func fired(socket string) (uint64, error) {
	if socket == "" {
		return 0, nil
	}
	client, err := console.Dial(socket)
	if err != nil {
		return 0, err
	}
	defer func() { _ = client.Close() }()
	reply, err := client.Send("state")
	if err != nil || reply.TransportStats == nil {
		return 0, err
	}
	return reply.TransportStats.Fired, nil
}

// rss is a process's resident memory in bytes.
func rss(pid int) int64 {
	return 1024 * field("/proc/"+strconv.Itoa(pid)+"/status", "VmRSS:")
}

// cores is the list of cores that a process may use, as the kernel writes it.
func cores(pid int) string {
	if pid == 0 {
		return "not known"
	}
	f, err := os.Open("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return "not known"
	}
	defer f.Close()
	for in := bufio.NewScanner(f); in.Scan(); {
		if v, ok := strings.CutPrefix(in.Text(), "Cpus_allowed_list:"); ok {
			return strings.TrimSpace(v)
		}
	}
	return "not known"
}

// field is the number that follows name in a file of one field a line; 0 where there is none.
func field(path, name string) int64 {
	raw, err := os.ReadFile(path)
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if v, ok := strings.CutPrefix(line, name); ok {
			if f := strings.Fields(v); len(f) > 0 {
				n, _ := strconv.ParseInt(f[0], 10, 64)
				return n
			}
		}
	}
	return 0
}

// cpu is the processor time that a process has used: fields 14 and 15 of its stat, in hundredths of a second.
func cpu(pid int) time.Duration {
	raw, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(raw), ") ")
	f := strings.Fields(rest)
	if len(f) < 13 {
		return 0
	}
	user, _ := strconv.ParseInt(f[11], 10, 64)
	system, _ := strconv.ParseInt(f[12], 10, 64)
	return time.Duration(user+system) * 10 * time.Millisecond
}
