package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

const (
	// callTimeout bounds a management call, connecting included. A balancer has to answer within 1 s.
	callTimeout = 3 * time.Second
	// maxResponseBytes bounds how much of a response is read.
	maxResponseBytes = 1 << 20

	// refusalPrefix starts the response to a call that was refused.
	refusalPrefix = "NO "
	// responseEndLine ends a response of several lines.
	responseEndLine = "END"
)

var (
	errEmptyResponse     = errors.New("empty response")
	errTruncatedResponse = errors.New("response truncated: last line is not END")
)

// callCmd is the command "call".
type callCmd struct {
	Address string   `arg:"" help:"Management address of a balancer, host:port."`
	Words   []string `arg:"" help:"The call: check, vars, drain-on, drain-off, members, zone-status, zone-leave Z or zone-return Z."`
}

// Run makes the call and prints its response. It returns errCheckFailed if the balancer refuses the call.
func (c *callCmd) Run(ctx context.Context) error {
	lines, err := callManagement(ctx, c.Address, strings.Join(c.Words, " "))
	if err != nil {
		return err
	}
	for _, line := range lines {
		fmt.Println(line)
	}
	if len(lines) > 0 && strings.HasPrefix(lines[0], refusalPrefix) {
		return fmt.Errorf("%w: %s", errCheckFailed, lines[0])
	}
	return nil
}

// callManagement makes a management call and returns the lines of the response, without responseEndLine. It returns an error
// if the response is empty or is not complete within callTimeout.
func callManagement(ctx context.Context, address, call string) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	connection, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	defer connection.Close()
	if deadline, ok := ctx.Deadline(); ok {
		connection.SetDeadline(deadline) // if this fails, so does the write below
	}
	if _, err := fmt.Fprintln(connection, call); err != nil {
		return nil, fmt.Errorf("sending the call %q to %s: %w", call, address, err)
	}
	lines, err := readResponse(connection)
	if err != nil {
		return nil, fmt.Errorf("reading the response of %s to the call %q: %w", address, call, err)
	}
	return lines, nil
}

// callForLines is like callManagement, but returns an error also if the response has no line before responseEndLine.
func callForLines(ctx context.Context, address, call string) ([]string, error) {
	lines, err := callManagement(ctx, address, call)
	if err == nil && len(lines) == 0 {
		err = fmt.Errorf("reading the response of %s to the call %q: %w", address, call, errEmptyResponse)
	}
	return lines, err
}

// readResponse reads a response: one line, or several that end with responseEndLine.
func readResponse(r io.Reader) ([]string, error) {
	var lines []string
	scanner := bufio.NewScanner(io.LimitReader(r, maxResponseBytes))
	for scanner.Scan() {
		lines = append(lines, scanner.Text())
	}
	if err := scanner.Err(); err != nil {
		return nil, err
	}
	if len(lines) == 0 {
		return nil, errEmptyResponse
	}
	last := len(lines) - 1
	if lines[last] == responseEndLine {
		return lines[:last], nil
	}
	if len(lines) > 1 {
		return nil, errTruncatedResponse
	}
	return lines, nil
}
