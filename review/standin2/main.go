// Command standin2 plays the cases 6 to 10 of the review, each against the project's own program.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: standin2 CASE RECORD")
		os.Exit(unable)
	}
	play := map[string]func(*env){"direct": directReply, "channels": channels, "gone": gone, "duty": duty, "effect": effect}[os.Args[1]]
	if play == nil {
		fmt.Println("no such case")
		os.Exit(unable)
	}
	play(newEnv(os.Args[2]))
}

// applianceConfig is the start of an appliance's file, with classes as in deploy/appliance.toml.
func applianceConfig(name, amqp string, diskMB int) string {
	return fmt.Sprintf(`name = %q
[limits]
memory_mb = 192
sockets = 1024
disk_mb = %d
[amqp]
listen = %q
exchange = "messages"
heartbeat_s = 10
[sender]
slots = 16
hold = 200
[[class]]
name = "run-record"
effect = "by_key"
aim_ms = 3000
deadline_ms = 16000
window_ms = 15000
worth = 2
late_worth = 0.5
[[class]]
name = "calib-state"
effect = "repeatable"
aim_ms = 1500
deadline_ms = 6000
worth = 1
[[class]]
name = "beamtime-charge"
effect = "once"
aim_ms = 2000
deadline_ms = 28000
worth = 4
late_worth = 0.3
`, name, diskMB, amqp)
}

func httpRoute(name string, dest int, addr string) string {
	return fmt.Sprintf("[[route]]\nname = %q\ndest = %d\nproto = \"http\"\ndial = %q\n", name, dest, addr)
}
