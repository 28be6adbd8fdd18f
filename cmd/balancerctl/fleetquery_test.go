package main

import (
	"bufio"
	"context"
	"io"
	"net"
	"slices"
	"strings"
	"testing"

	"sprucehill/internal/membership"
)

// startManagementServer starts a server that answers management calls with the given responses, and returns its address.
func startManagementServer(t *testing.T, responses map[string]string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			line, _ := bufio.NewReader(c).ReadString('\n')
			_, _ = io.WriteString(c, responses[strings.TrimSpace(line)]) // a response cut short fails the assertions on it
			c.Close()
		}
	}()
	return l.Addr().String()
}

// lab explore finds no violation in the lease protocol, finds one if a rule of the protocol is disabled, and rejects a number
// of voters that is out of range.
func TestExplore(t *testing.T) {
	for args, want := range map[string]int{"--states=3000": exitOK, "--broken=greedy --crashes=0": exitCheckFailed, "--voters=9": exitUnusable} {
		if code := run(append([]string{"lab", "explore"}, strings.Fields(args)...)); code != want {
			t.Errorf("lab explore %s exits with %d, want %d", args, code, want)
		}
	}
}

// members fails if two balancers have different views of the fleet, or if one of them has no membership.
func TestMembersOfAFleet(t *testing.T) {
	view := func(names ...string) string {
		var s membership.Status
		s.Self = membership.Member{Name: names[0], Incarnation: 4, State: membership.Draining}
		for _, name := range names {
			s.View.Members = append(s.View.Members, membership.Member{Name: name, Incarnation: 1 << 62, State: membership.Serving, Address: "127.0.0.1:7"})
		}
		var b strings.Builder
		if err := s.Write(&b); err != nil {
			t.Fatal(err)
		}
		return startManagementServer(t, map[string]string{"members": b.String() + "END\n"})
	}
	one, two, other := view("a", "b"), view("a", "b"), view("a")
	off := startManagementServer(t, map[string]string{"members": "NO there is no membership\n"})
	all := queryAll(context.Background(), []string{one, off}, fetchMemberView)
	if s := all[0].Status; s == nil || s.Self.State != membership.Draining || len(s.View.Members) != 2 ||
		s.View.Members[1] != (membership.Member{Name: "b", Incarnation: 1 << 62, State: membership.Serving, Address: "127.0.0.1:7"}) {
		t.Errorf("%+v", all[0])
	}
	for _, c := range []struct {
		addresses []string
		want      int
	}{{[]string{one, two}, exitOK}, {[]string{one, other}, exitCheckFailed}, {[]string{one, off}, exitCheckFailed}} {
		if code := run(append([]string{"members"}, c.addresses...)); code != c.want {
			t.Errorf("members of %v exits with %d, want %d", c.addresses, code, c.want)
		}
	}
}

// A response without a line before its end is an error of that balancer, and ends neither status nor members.
func TestEmptyResponseOfABalancer(t *testing.T) {
	empty := startManagementServer(t, map[string]string{"check": "END\n", "members": "END\n"})
	for _, command := range []string{"status", "members"} {
		if code := run([]string{command, empty}); code != exitCheckFailed {
			t.Errorf("%s exits with %d, want %d", command, code, exitCheckFailed)
		}
	}
}

// status sums metrics over their labels and lists failed zones. A balancer whose response is truncated, or that refuses the
// connection, is not serving.
func TestStatusOfAFleet(t *testing.T) {
	vars := "svc_passed{category=\"a\"} 3\nsvc_passed{category=\"b\"} 4\nsvc_in_progress 1\nsvc_zone_state{zone=\"r/x\"} 2\nsvc_zone_share{zone=\"r/x\"} 9\n"
	good := startManagementServer(t, map[string]string{"check": "YES serving\n", "vars": vars + "END\n", "zone-leave r/x": "NO it is not known\n"})
	cut := startManagementServer(t, map[string]string{"check": "YES serving\n", "vars": vars})
	all := queryAll(context.Background(), []string{good, cut, "127.0.0.1:1"}, fetchStatus)
	if s := all[0]; !s.Serving || s.Metrics["svc_passed"] != 7 || !slices.Equal(s.ZonesNotOK, []string{"r/x failed"}) || s.Metrics["svc_zone_share"] != 0 {
		t.Errorf("%+v", s)
	}
	for _, s := range all[1:] {
		if s.Serving || s.Check == "" {
			t.Errorf("%+v", s)
		}
	}
	if code := run([]string{"status", good}); code != exitOK {
		t.Errorf("status of a serving balancer exits with %d, want %d", code, exitOK)
	}
	if code := run([]string{"call", good, "zone-leave", "r/x"}); code != exitCheckFailed {
		t.Errorf("a refused call exits with %d, want %d", code, exitCheckFailed)
	}
}
