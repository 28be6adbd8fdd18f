//go:build review

package stage

import (
	"io"
	"strings"
	"time"
)

func init() { scenes["pipeline"] = pipeline }

// pipeline has a client send many requests. With trouble it sends all of them at once on one connection, as HTTP/1.1 allows, and those
// that get no answer on that connection once more on a new one. Each has to get an answer.
func pipeline(s *stage, trouble bool) {
	const count = 100
	p := s.startBalancer(s.startDiscovery(s.startUpstream(0, plain(2*time.Millisecond)), s.startUpstream(1, plain(2*time.Millisecond))), startOptions{})
	var ids []string
	for range count {
		ids = append(ids, s.newID())
	}
	if !trouble {
		c := p.dial()
		defer c.Close()
		for _, id := range ids {
			if rest := s.exchange(c, []string{id}); len(rest) > 0 {
				s.breaks("%s has no answer", id)
			}
		}
		return
	}
	for try := range 2 {
		c := p.dial()
		ids = s.exchange(c, ids)
		c.Close()
		s.log("connection %d: %d requests have no answer", try+1, len(ids))
	}
	for _, id := range ids {
		s.breaks("%s has no answer", id)
	}
}

// exchange sends requests at once and returns those that get no whole answer.
func (s *stage) exchange(c *client, ids []string) (unanswered []string) {
	var text strings.Builder
	for _, id := range ids {
		text.WriteString(requestText("plan-trip", id, 2000, ""))
	}
	n, err := io.WriteString(c, text.String())
	sentAt := time.Now()
	s.log("client: %d requests sent, %d of %d bytes, %v", len(ids), n, text.Len(), err)
	for i, id := range ids {
		c.SetReadDeadline(sentAt.Add(2550 * time.Millisecond)) // the deadline, and the half second in which an answer only earns nothing
		status, body, err := c.readAnswer()
		if err != nil {
			s.log("client: request %d, %s: %v, %.3f s after it was sent", i, id, err, time.Since(sentAt).Seconds())
			return ids[i:]
		}
		s.log("client: request %d, %s: %d %q", i, id, status, body)
	}
	return nil
}
