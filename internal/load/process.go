package load

import (
	"bufio"
	"os"
	"strconv"
	"strings"
	"time"

	"brackendale/internal/console"
)

// timersFired queries a sender's console for the number of timers that have fired.
func timersFired(socket string) (uint64, error) {
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

// rss returns the resident memory of a process in bytes.
func rss(pid int) int64 {
	return 1024 * numericField("/proc/"+strconv.Itoa(pid)+"/status", "VmRSS:")
}

// allowedCores returns the list of cores that a process may use, in the format of the kernel.
func allowedCores(pid int) string {
	if pid == 0 {
		return "not known"
	}
	file, err := os.Open("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return "not known"
	}
	defer file.Close()
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		if v, ok := strings.CutPrefix(scanner.Text(), "Cpus_allowed_list:"); ok {
			return strings.TrimSpace(v)
		}
	}
	return "not known"
}

// numericField returns the number that follows name in a file with one field per line, or 0 if there is none.
func numericField(path, name string) int64 {
	raw, err := os.ReadFile(path)
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if v, ok := strings.CutPrefix(line, name); ok {
			if fields := strings.Fields(v); len(fields) > 0 {
				n, _ := strconv.ParseInt(fields[0], 10, 64)
				return n
			}
		}
	}
	return 0
}

// cpuTime returns the CPU time that a process has used: fields 14 and 15 of its stat file, in hundredths of a second.
func cpuTime(pid int) time.Duration {
	stat, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * 10 * time.Millisecond
}
