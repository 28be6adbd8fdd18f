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
	// callTimeout bounds a management call, with its connection. A balancer has to answer within 1 s.
	callTimeout = 3 * time.Second
	// maxAnswerSize bounds what is read of an answer, in bytes.
	maxAnswerSize = 1 << 20

	// refusalPrefix is how the answer to a call that was refused begins.
	refusalPrefix = "NO "
	// lastLine ends an answer of several lines.
	lastLine = "END"
)

var (
	errNoAnswer        = errors.New("no answer")
	errTruncatedAnswer = errors.New("the answer is cut: it has no END")
)

// callCmd is the command "call".
type callCmd struct {
	Address string   `arg:"" help:"Management address of a balancer, host:port."`
	Words   []string `arg:"" help:"The call: check, vars, drain-on, drain-off, members, zone-status, zone-leave Z or zone-return Z."`
}

// Run makes the call and prints its answer. It returns errCheckFailed if the balancer refuses the call.
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

// callManagement makes a management call and returns the lines of its answer, without lastLine. It returns an error if the
// answer is empty or is not complete within callTimeout.
func callManagement(ctx context.Context, address, call string) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	connection, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	defer connection.Close()
	if deadline, ok := ctx.Deadline(); ok {
		connection.SetDeadline(deadline) // if it fails, so does the write below
	}
	if _, err := fmt.Fprintln(connection, call); err != nil {
		return nil, fmt.Errorf("%s: %w", address, err)
	}
	lines, err := readAnswer(connection)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", address, err)
	}
	return lines, nil
}

// readAnswer reads an answer: one line, or several that end with lastLine.
func readAnswer(r io.Reader) ([]string, error) {
	var lines []string
	scanner := bufio.NewScanner(io.LimitReader(r, maxAnswerSize))
	for scanner.Scan() {
		lines = append(lines, scanner.Text())
	}
	if err := scanner.Err(); err != nil {
		return nil, err
	}
	if len(lines) == 0 {
		return nil, errNoAnswer
	}
	last := len(lines) - 1
	if lines[last] == lastLine {
		return lines[:last], nil
	}
	if len(lines) > 1 {
		return nil, errTruncatedAnswer
	}
	return lines, nil
}
