//go:build review

package standin

import (
	"fmt"
	"math/rand"
	"sync"
	"time"
)

func init() { cases["second-answer"] = playSecondAnswer }

// secondAnswerPlay is the state of playSecondAnswer.
type secondAnswerPlay struct {
	*play
	mu      sync.Mutex // guards the fields below
	random  *rand.Rand
	results map[string]int // how many requests ended in each way
	seconds int            // second answers
}

// servedForeign is the result of a request whose client got the answer to another request.
const servedForeign = "served with what no upstream made for it"

const (
	secondAnswerRate    = 100 // requests a second
	secondAnswerLength  = 15 * time.Second
	secondAnswerShare   = 0.05 // of the answers that are followed by a second one, if there is trouble
	secondAnswerLongest = 10 * time.Millisecond
)

func (s *secondAnswerPlay) draw() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64()
}

// newUpstream returns an upstream that answers some requests twice if there is trouble.
func (s *secondAnswerPlay) newUpstream(number int) *upstream {
	u := s.play.newUpstream(number)
	u.receive = func(a arrival) time.Duration {
		s.record("upstream %s runs %s", u.name, a.id)
		return 20*time.Millisecond + time.Duration(s.draw()*float64(40*time.Millisecond))
	}
	u.afterAnswer = func(c *upstreamConn, id string, answer []byte) {
		if !s.trouble || s.draw() >= secondAnswerShare {
			return
		}
		delay := time.Millisecond + time.Duration(s.draw()*float64(secondAnswerLongest-time.Millisecond))
		time.AfterFunc(delay, func() {
			if c.write(answer) == nil {
				s.mu.Lock()
				s.seconds++
				s.mu.Unlock()
				s.record("upstream %s answers %s a second time, %v after the first: %.12q", u.name, id, delay.Round(time.Microsecond), answer)
			}
		})
	}
	return u
}

// send sends one request on a connection of free or a new one, and checks its answer.
func (s *secondAnswerPlay) send(k class, free chan *clientConn) {
	var c *clientConn
	select {
	case c = <-free:
	default:
		c = s.dial()
	}
	id, wait := s.newID(), k.deadline/2 // as a try has
	s.record("client sends %s (%s)", id, k.name)
	c.Write(requestBytes(k, id, wait, 0))
	c.SetReadDeadline(time.Now().Add(wait + 500*time.Millisecond))
	status, body, closes, err := c.readAnswer()
	s.record("client of %s got %d %q %v", id, status, body, err)
	result := fmt.Sprint("answered ", status)
	if err != nil {
		result = "not answered"
	} else if status == 200 && body != answerTo(id) {
		result = servedForeign
		s.record("BROKEN: %s was served with what no upstream made for it: %q", id, body)
	}
	s.mu.Lock()
	s.results[result]++
	s.mu.Unlock()
	if err != nil || closes {
		c.Close()
		return
	}
	free <- c
}

// playSecondAnswer has upstreams that answer some requests twice, the second time some milliseconds late. Each client must get
// the answer that an upstream made for its own request.
func playSecondAnswer(p *play) (broken int) {
	s := &secondAnswerPlay{play: p, random: rand.New(rand.NewSource(1)), results: map[string]int{}}
	var members []member
	for i := range 4 {
		members = append(members, s.newUpstream(i).member())
	}
	p.startBalancer(members, settings(2))
	free := make(chan *clientConn, 1000)
	var clients sync.WaitGroup
	tick := time.NewTicker(time.Second / secondAnswerRate)
	defer tick.Stop()
	for i := range int(secondAnswerLength.Seconds()) * secondAnswerRate {
		<-tick.C
		k := planTrip
		if i%2 == 1 {
			k = buyTicket
		}
		clients.Go(func() { s.send(k, free) })
	}
	clients.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record("%d second answers; requests: %v", s.seconds, s.results)
	return s.results[servedForeign]
}
