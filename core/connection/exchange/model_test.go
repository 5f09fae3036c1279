package exchange_test

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mulberrydale/mulberrydale/core/connection/exchange"
	"github.com/mulberrydale/mulberrydale/core/connection/upstream"
	"github.com/mulberrydale/mulberrydale/core/process/discovery"
	"github.com/mulberrydale/mulberrydale/core/request/relay"
)

// A model target answers each request at random: it runs it or rejects it, sends copies of
// earlier responses before, or late, breaks off, adds bytes, or closes. It knows for each
// send what it did, and marks it in the response.
type modelTarget struct {
	mu  sync.Mutex
	rng *rand.Rand
	// ran and rejected count the sends, which a header of their own numbers.
	ran      map[string]bool
	rejected map[string]bool
}

// headerSend numbers the sends of a test, so that the target can tell two sends of one
// request apart. The code under test passes it on like any other header.
const headerSend = "X-Send"

// modelConn is one connection to a modelTarget, with the responses sent on it so far.
type modelConn struct {
	target *modelTarget
	conn   net.Conn
	sent   []string
}

func (c *modelConn) run() {
	defer c.conn.Close()
	reader := bufio.NewReader(c.conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		text, keep := c.target.answer(r, c.sent)
		if _, err := c.conn.Write([]byte(text)); err != nil || !keep {
			return
		}
		c.sent = append(c.sent, text)
	}
}

// answer draws what happens to a request, and returns the bytes to send and whether the
// connection is kept.
func (m *modelTarget) answer(r *http.Request, earlier []string) (text string, keep bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	names := exchange.OwnHeaderNames()
	id, send := r.Header.Get(names.Request()), r.Header.Get(headerSend)
	rejects := m.rng.IntN(3) == 0
	status, extra, body := 200, names.Signature()+": sig\r\n", send
	if rejects {
		m.rejected[send] = true
		status, extra, body = 503, names.NotRun()+": 1\r\n", "full"
	} else {
		m.ran[send] = true
	}
	own := fmt.Sprintf("HTTP/1.1 %d X\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, names.Request(), id, extra, len(body), body)
	copyOf := ""
	if len(earlier) > 0 {
		copyOf = earlier[m.rng.IntN(len(earlier))]
	}
	switch m.rng.IntN(12) {
	case 0, 1, 2:
		// A copy of an earlier response takes the place of this one, which follows it.
		return copyOf + own, true
	case 3:
		return own + own, true
	case 4:
		return own[:m.rng.IntN(len(own))], false
	case 5:
		return copyOf, false
	case 6:
		return own + "\x00\x01", true
	case 7:
		return "", false
	}
	return own, true
}

// modelSeeds is the number of seeds that the test plays unless EXCHANGE_MODEL_SEEDS says
// otherwise.
const modelSeeds = 30

// Plays drawn sequences of requests on connections that are used again, with ids that come
// again. Whatever the target sends, no response and no rejection is given to a send that it
// is not for.
func TestNoResponseIsGivenToAnotherSend(t *testing.T) {
	seeds := modelSeeds
	if text := os.Getenv("EXCHANGE_MODEL_SEEDS"); text != "" {
		n, err := strconv.Atoi(text)
		assert.NilError(t, err)
		seeds = n
	}
	sends := 0
	for seed := range seeds {
		sends += playModel(t, uint64(seed))
	}
	t.Logf("%d sends", sends)
}

func playModel(t *testing.T, seed uint64) (sends int) {
	target := &modelTarget{rng: rand.New(rand.NewPCG(seed, 1)), ran: make(map[string]bool), rejected: make(map[string]bool)}
	server := newConnServer(t, func(conn net.Conn) connHandler { return &modelConn{target: target, conn: conn} })
	rng := rand.New(rand.NewPCG(seed, 2))
	pool := upstream.NewPool()
	sender := exchange.NewSender(pool, exchange.OwnHeaderNames())
	instance := discovery.NewInstance("i-1", "s-1", server.address(), "dc-1", 2)
	for n := range 200 {
		send := fmt.Sprintf("send-%d-%d", seed, n)
		// Few ids, so that most of them come again.
		id := fmt.Sprintf("req-%d", rng.IntN(12))
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		r := relay.NewRequest(id, http.MethodPost, "a.example", "/x/1", "/x/1", http.Header{headerSend: {send}}, []byte("body"), time.Now())
		outcome := sender.Send(ctx, relay.NewAttempt(r, instance, time.Now().Add(2*time.Second), true), time.Now())
		cancel()
		target.mu.Lock()
		ran, rejected := target.ran[send], target.rejected[send]
		target.mu.Unlock()
		switch o := outcome.(type) {
		case relay.Answered:
			assert.Equal(t, string(o.Response().Body()), send, "seed %d: the response to another send", seed)
		case relay.Declined:
			assert.Assert(t, rejected && !ran, "seed %d: %s was called rejected; run: %t", seed, send, ran)
		case relay.Unsent:
			assert.Assert(t, !ran, "seed %d: %s was called unsent and has run", seed, send)
		case relay.Lost:
		}
	}
	return 200
}
