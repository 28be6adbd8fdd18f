package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// callTimeout bounds an operators' call: a balancer has to answer within 1 s.
	callTimeout = 3 * time.Second
	// maxAnswer bounds what is read of an answer.
	maxAnswer = 1 << 20
)

// callCmd is call.
type callCmd struct {
	Address string   `arg:"" help:"Management address of a balancer, host:port."`
	Words   []string `arg:"" help:"The call: check, vars, drain-on, drain-off, members, zone-status, zone-leave Z or zone-return Z."`
}

// Run carries it out.
func (c *callCmd) Run(ctx context.Context) error {
	lines, err := callOperators(ctx, c.Address, strings.Join(c.Words, " "))
	if err != nil {
		return err
	}
	for _, l := range lines {
		fmt.Println(l)
	}
	if len(lines) > 0 && strings.HasPrefix(lines[0], "NO ") {
		return fmt.Errorf("%w: %s", errClaim, lines[0])
	}
	return nil
}

// callOperators makes an operators' call and returns the lines of its answer, without the END of a long one.
func callOperators(ctx context.Context, address, line string) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	if at, ok := ctx.Deadline(); ok {
		c.SetDeadline(at) // a call on a closed connection fails below
	}
	if _, err := fmt.Fprintln(c, line); err != nil {
		return nil, fmt.Errorf("%s: %w", address, err)
	}
	var lines []string
	in := bufio.NewScanner(io.LimitReader(c, maxAnswer))
	for in.Scan() {
		lines = append(lines, in.Text())
	}
	if err := in.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w", address, err)
	}
	if len(lines) == 0 {
		return nil, fmt.Errorf("%s: no answer", address)
	}
	if last := len(lines) - 1; lines[last] == "END" {
		return lines[:last], nil
	} else if len(lines) > 1 {
		return nil, fmt.Errorf("%s: the answer is cut: it has no END", address)
	}
	return lines, nil
}

// statusCmd is status.
type statusCmd struct {
	Addresses []string      `arg:"" help:"Management addresses of balancers, host:port."`
	Watch     time.Duration `help:"Show it anew after each such time, until interrupted."`
	JSON      bool          `name:"json" help:"Write it as JSON."`
}

// balancerStatus is what one balancer says of itself.
type balancerStatus struct {
	Address    string
	Check      string         // its answer, or why there is none
	Serving    bool           // it takes clients and is not being emptied
	Figures    map[string]int `json:",omitempty"` // by name; those of classes added up
	ZonesNotOK []string       `json:",omitempty"` // zones that are not well, with their state
}

// Run carries it out. It exits with 1 if any balancer does not serve.
func (c *statusCmd) Run(ctx context.Context) error {
	return showRepeatedly(ctx, c.Watch, c.JSON, func() []balancerStatus { return queryAll(ctx, c.Addresses, oneStatus) }, showStatus,
		func(all []balancerStatus) error {
			if i := slices.IndexFunc(all, func(s balancerStatus) bool { return !s.Serving }); i >= 0 {
				return fmt.Errorf("%w: %s: %s", errClaim, all[i].Address, all[i].Check)
			}
			return nil
		})
}

// watch asks and shows once and returns the verdict; with an interval it does so again after each, until ctx ends.
func showRepeatedly[T any](ctx context.Context, every time.Duration, asJSON bool, ask func() T, show func(io.Writer, T), verdict func(T) error) error {
	for {
		all := ask()
		if asJSON {
			if err := writeJSON(all); err != nil {
				return err
			}
		} else {
			show(os.Stdout, all)
		}
		if every <= 0 {
			return verdict(all)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(every):
			fmt.Println()
		}
	}
}

// askAll asks all at once: one that does not answer must not hold up the others.
func queryAll[T any](ctx context.Context, addresses []string, one func(ctx context.Context, address string) T) []T {
	all := make([]T, len(addresses))
	var asked sync.WaitGroup
	for i, address := range addresses {
		asked.Go(func() { all[i] = one(ctx, address) })
	}
	asked.Wait()
	return all
}

// oneStatus asks one balancer for its status.
func oneStatus(ctx context.Context, address string) balancerStatus {
	s := balancerStatus{Address: address, Figures: map[string]int{}}
	check, err := callOperators(ctx, address, "check")
	if err != nil {
		s.Check = err.Error()
		return s
	}
	s.Check = check[0]
	s.Serving = s.Check == "YES serving"
	vars, err := callOperators(ctx, address, "vars")
	if err != nil {
		s.fail(err)
		return s
	}
	for _, line := range vars {
		if err := s.addMetric(line); err != nil {
			s.fail(err)
		}
	}
	return s
}

// fail says why there is no status.
func (s *balancerStatus) fail(err error) {
	s.Check = err.Error()
	s.Serving = false
}

// zoneStates are the names of the values of svc_zone_state.
var zoneStates = []string{"well", "doubtful", "failed", "left", "returning"}

// addMetric adds a line of vars: name{label="x"} n.
func (s *balancerStatus) addMetric(line string) error {
	at := strings.LastIndexByte(line, ' ')
	n, err := strconv.Atoi(line[at+1:])
	if at < 1 || err != nil {
		return fmt.Errorf("%s: %q is no figure", s.Address, line)
	}
	name, label, labelled := strings.Cut(line[:at], "{")
	switch {
	case name == "svc_zone_state" && n > 0:
		zone, err := strconv.Unquote(strings.TrimSuffix(strings.TrimPrefix(label, "zone="), "}"))
		if err != nil || n >= len(zoneStates) {
			return errors.New(s.Address + ": " + line + " names no zone and state")
		}
		s.ZonesNotOK = append(s.ZonesNotOK, zone+" "+zoneStates[n])
	case strings.HasPrefix(name, "svc_zone_") && labelled: // by zone; the state above is what a table has room for
	default:
		s.Figures[name] += n
	}
	return nil
}

func showStatus(w io.Writer, all []balancerStatus) {
	rows := [][]any{{"balancer", "", "in progress", "passed", "dropped", "bad gateway", "known", "skipped", "zones that are not well"}}
	for _, s := range all {
		row := []any{s.Address, s.Check}
		for _, name := range []string{"svc_in_progress", "svc_passed", "svc_dropped", "svc_bad_gateway", "svc_known_upstreams", "svc_skipped_upstreams"} {
			if n, ok := s.Figures[name]; ok {
				row = append(row, n)
			} else {
				row = append(row, "-")
			}
		}
		rows = append(rows, append(row, strings.Join(s.ZonesNotOK, ", ")))
	}
	writeTable(w, rows...)
}
