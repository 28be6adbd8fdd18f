package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

const (
	// callConnectTimeout bounds the opening of a connection for an operators' call.
	callConnectTimeout = time.Second
	// callTimeout bounds an operators' call.
	callTimeout = 10 * time.Second
)

// openCall makes an operators' call, whose answer is then read from the connection.
func openCall(address, line string) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", address, callConnectTimeout)
	if err != nil {
		return nil, err
	}
	c.SetDeadline(time.Now().Add(callTimeout))
	fmt.Fprintln(c, line)
	return c, nil
}

// callManagement makes an operators' call and returns the first line of its answer, or "" if there is no answer.
func callManagement(address, line string) string {
	c, err := openCall(address, line)
	if err != nil {
		return ""
	}
	defer c.Close()
	answer, err := bufio.NewReader(c).ReadString('\n')
	if err != nil && !errors.Is(err, io.EOF) {
		return ""
	}
	return strings.TrimSpace(answer)
}

// readCall makes an operators' call and returns its complete answer.
func readCall(address, line string) (string, error) {
	c, err := openCall(address, line)
	if err != nil {
		return "", err
	}
	defer c.Close()
	answer, err := io.ReadAll(c)
	return string(answer), err
}

// callAll makes an operators' call and returns its answer of several lines, or the text of an error.
func callAll(address, line string) string {
	answer, err := readCall(address, line)
	if err != nil {
		return err.Error()
	}
	return answer
}
