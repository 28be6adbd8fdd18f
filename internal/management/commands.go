package management

import (
	"io"
	"log/slog"
	"strings"
)

// usage is the answer to a call of no known command.
const usage = "NO the calls are check, vars, drain-on, drain-off, members, zone-status, zone-leave Z and zone-return Z\n"

// commands has what executes each call that has no argument.
var commands = map[string]func(Balancer) (answer string){
	"check":       func(b Balancer) string { return verdict(b.Ready()) },
	"vars":        func(b Balancer) string { return listing(b.WriteMetrics) },
	"zone-status": func(b Balancer) string { return listing(b.WriteZones) },
	"members":     func(b Balancer) string { return listing(b.WriteMembers) },
	"drain-on": func(b Balancer) string {
		slog.Info("balancer drained by operator")
		return verdict(b.StartDrain())
	},
	"drain-off": func(b Balancer) string {
		slog.Info("balancer restored by operator")
		return verdict(b.EndDrain())
	},
}

// zoneCommands has what executes each call whose argument is the name of a zone.
var zoneCommands = map[string]func(b Balancer, zone string) (answer string){
	"zone-leave": func(b Balancer, zone string) string {
		slog.Info("zone drain requested by operator", "zone", zone)
		return verdict(b.DrainZone(zone))
	},
	"zone-return": func(b Balancer, zone string) string {
		slog.Info("zone reinstatement requested by operator", "zone", zone)
		return verdict(b.ReinstateZone(zone))
	},
}

// execute carries out a call and returns its answer.
func execute(b Balancer, call string) (answer string) {
	name, argument, _ := strings.Cut(call, " ")
	if command, ok := zoneCommands[name]; ok {
		if argument == "" {
			return "NO " + name + " wants the name of a zone\n"
		}
		return command(b, argument)
	}
	command, ok := commands[name]
	if !ok || argument != "" {
		return usage
	}
	return command(b)
}

// listing is an answer of several lines with a line END behind them, or the error of what should write them.
func listing(write func(io.Writer) error) string {
	var lines strings.Builder
	if err := write(&lines); err != nil {
		return "NO " + err.Error() + "\n"
	}
	return lines.String() + "END\n"
}

// verdictWords has the first word of an answer of one line, by whether what was called for is so.
var verdictWords = map[bool]string{true: "YES", false: "NO"}

// verdict is an answer of one line.
func verdict(yes bool, state string) string { return verdictWords[yes] + " " + state + "\n" }
