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
	// callConnectTimeout bounds the time for connecting to a management address.
	callConnectTimeout = time.Second
	// callTimeout bounds a management call once its connection is open.
	callTimeout = 10 * time.Second
)

// openManagementCall sends a management call and returns the connection to read its answer from.
func openManagementCall(address, line string) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", address, callConnectTimeout)
	if err != nil {
		return nil, err
	}
	c.SetDeadline(time.Now().Add(callTimeout))
	fmt.Fprintln(c, line)
	return c, nil
}

// callManagement makes a management call and returns the first line of its answer, or "" if there is no answer.
func callManagement(address, line string) string {
	c, err := openManagementCall(address, line)
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

// readManagementCall makes a management call and returns its complete answer.
func readManagementCall(address, line string) (string, error) {
	c, err := openManagementCall(address, line)
	if err != nil {
		return "", err
	}
	defer c.Close()
	answer, err := io.ReadAll(c)
	return string(answer), err
}

// managementAnswerOrError makes a management call and returns its complete answer, or the text of the error if it fails.
func managementAnswerOrError(address, line string) string {
	answer, err := readManagementCall(address, line)
	if err != nil {
		return err.Error()
	}
	return answer
}
