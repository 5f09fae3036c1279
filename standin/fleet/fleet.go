package fleet

import (
	"context"
	"net"
	"net/http"
	"path"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrydale/mulberrydale/core/version/configuration"
)

// Fleet is all leafs of a configuration, with a journal and a control page.
type Fleet struct {
	journal *Journal
	leafs   []*Leaf
	servers []*http.Server
	vms     *vmList
}

// New returns the fleet of a configuration; nothing listens yet. The seed
// decides every draw, warm whether the leafs start warm.
func New(cfg configuration.Configuration, seed uint64, warm bool) *Fleet {
	f := &Fleet{journal: &Journal{}, vms: &vmList{}}
	for _, s := range cfg.Services() {
		for _, l := range s.Leafs() {
			f.leafs = append(f.leafs, newLeaf(l, s, f.journal, seed, warm))
		}
	}
	return f
}

// Listen opens the port of every leaf and serves it.
func (f *Fleet) Listen() error {
	for _, l := range f.leafs {
		if err := f.listen(l); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) listen(l *Leaf) error {
	listener, err := net.Listen("tcp", l.address)
	if err != nil {
		return errors.Wrapf(err, "leaf %s", l.name)
	}
	server := &http.Server{Handler: l, ConnState: l.connState, ReadHeaderTimeout: time.Minute}
	f.servers = append(f.servers, server)
	go (&serveLoop{server: server, listener: &limitedListener{Listener: listener, leaf: l}}).run()
	return nil
}

// serveLoop is one HTTP server at its socket.
type serveLoop struct {
	server   *http.Server
	listener net.Listener
}

func (s *serveLoop) run() {
	_ = s.server.Serve(s.listener)
}

// Close ends every leaf at once.
func (f *Fleet) Close() {
	var wg sync.WaitGroup
	for _, s := range f.servers {
		wg.Add(1)
		go (&serverCloser{server: s, wg: &wg}).run()
	}
	wg.Wait()
}

type serverCloser struct {
	server *http.Server
	wg     *sync.WaitGroup
}

func (c *serverCloser) run() {
	defer c.wg.Done()
	_ = c.server.Shutdown(cancelledContext())
	_ = c.server.Close()
}

// cancelledContext returns a context that is over, so that Shutdown does not wait.
func cancelledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// SetBehaviour switches a behaviour on all leafs whose name or data centre matches the
// pattern, and returns how many there are.
func (f *Fleet) SetBehaviour(pattern, key, value string) (int, error) {
	n := 0
	for _, l := range f.leafs {
		nameMatches, err := path.Match(pattern, l.name)
		if err != nil {
			return n, errors.Wrap(err, "pattern")
		}
		if !nameMatches && pattern != l.dataCentre {
			continue
		}
		n++
		if err := l.setBehaviour(key, value); err != nil {
			return n, err
		}
	}
	return n, nil
}

// setBehaviour switches one behaviour. Three keys act at once instead of staying on.
func (l *Leaf) setBehaviour(key, value string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch key {
	case "restart-cold":
		l.start(true, true)
		l.unavailableUntil = time.Now().Add(restartTime)
		return nil
	case "turn-cold-untold":
		l.start(true, false)
		return nil
	case "old-connections-silent":
		l.silenceOpenConns()
		return nil
	}
	return l.behaviour.set(key, value)
}
