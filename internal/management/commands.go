package management

import (
	"io"
	"log/slog"
	"strings"
)

// usageResponse is the response to an unknown command.
const usageResponse = "NO the calls are check, vars, drain-on, drain-off, members, zone-status, zone-leave Z and zone-return Z\n"

// commands maps the name of each command without an argument to its implementation.
var commands = map[string]func(Balancer) (response string){
	"check":       func(b Balancer) string { return statusLine(b.Ready()) },
	"vars":        func(b Balancer) string { return multilineResponse(b.WriteMetrics) },
	"zone-status": func(b Balancer) string { return multilineResponse(b.WriteZones) },
	"members":     func(b Balancer) string { return multilineResponse(b.WriteMembers) },
	"drain-on": func(b Balancer) string {
		slog.Info("balancer drained by operator")
		return statusLine(b.StartDrain())
	},
	"drain-off": func(b Balancer) string {
		slog.Info("balancer restored by operator")
		return statusLine(b.EndDrain())
	},
}

// zoneCommands maps the name of each command whose argument is a zone to its implementation.
var zoneCommands = map[string]func(b Balancer, zone string) (response string){
	"zone-leave": func(b Balancer, zone string) string {
		slog.Info("zone drain requested by operator", "zone", zone)
		return statusLine(b.DrainZone(zone))
	},
	"zone-return": func(b Balancer, zone string) string {
		slog.Info("zone reinstatement requested by operator", "zone", zone)
		return statusLine(b.ReinstateZone(zone))
	},
}

// execute executes a command and returns its response.
func execute(b Balancer, commandLine string) (response string) {
	name, argument, _ := strings.Cut(commandLine, " ")
	if command, ok := zoneCommands[name]; ok {
		if argument == "" {
			return "NO " + name + " wants the name of a zone\n"
		}
		return command(b, argument)
	}
	command, ok := commands[name]
	if !ok || argument != "" {
		return usageResponse
	}
	return command(b)
}

// multilineResponse returns a response of the lines that write writes, followed by a line END. If write fails, it returns a
// status line with the error.
func multilineResponse(write func(io.Writer) error) string {
	var lines strings.Builder
	if err := write(&lines); err != nil {
		return "NO " + err.Error() + "\n"
	}
	return lines.String() + "END\n"
}

// statusWords holds the first word of a status line.
var statusWords = map[bool]string{true: "YES", false: "NO"}

// statusLine returns a response of one line.
func statusLine(ok bool, state string) string { return statusWords[ok] + " " + state + "\n" }
