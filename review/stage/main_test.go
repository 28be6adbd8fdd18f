//go:build review

// Package stage is the program of the second review's cases. It starts a balancer by the commands of the deploy file, takes the
// place of its clients, its upstreams, discovery and the platform, and checks one rule. review/build-2.sh builds it as
// bin/review-stage; each case's run.sh starts it with the name of a scene.
package stage

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"
)

// The exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// scene plays one case. trouble is false if the disruption is left out.
type scene func(s *stage, trouble bool)

var scenes = map[string]scene{}

// limit ends a case that takes too long: it may run for 120 s.
const limit = 115 * time.Second

// TestMain does the work of the program. There are no tests.
func TestMain(_ *testing.M) {
	if len(os.Args) != 3 || scenes[os.Args[1]] == nil {
		names := []string{}
		for name := range scenes {
			names = append(names, name)
		}
		slices.Sort(names)
		fmt.Println("usage: review-stage SCENE FOLDER; scenes:", names)
		os.Exit(exitCannotRun)
	}
	os.Exit(play(scenes[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// play plays a scene and returns the exit code.
func play(run scene, folder string, trouble bool) (code int) {
	s, err := newStage(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Println("cannot run:", err)
		return exitCannotRun
	}
	s.log("trouble=%t", trouble)
	done := make(chan any, 1)
	go func() {
		defer func() { done <- recover() }()
		run(s, trouble)
	}()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	var failure any
	select {
	case signal := <-stopped:
		failure = signal
	case failure = <-done:
	case <-time.After(limit):
		failure = "the scene took longer than " + limit.String()
	}
	s.end()
	switch {
	case failure != nil:
		s.log("CANNOT RUN: %v", failure)
		code = exitCannotRun
	case s.brokenCount() > 0:
		s.log("BROKEN %d times", s.brokenCount())
		code = exitBroken
	default:
		s.log("HELD")
	}
	fmt.Printf("exit %d, record in %s\n", code, filepath.Join(folder, "record.txt"))
	s.close()
	return code
}
