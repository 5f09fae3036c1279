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

// Fleet serves all leafs of a configuration. It has one journal and one control
// interface for all of them.
type Fleet struct {
	journal *Journal
	leafs   []*Leaf
	servers []*http.Server
	vms     *vmList
}

// New returns the fleet of a configuration. It opens no port yet. The seed
// determines the random numbers of all leafs; warm is whether they start warm.
func New(cfg configuration.Configuration, seed uint64, warm bool) *Fleet {
	f := &Fleet{journal: &Journal{}, vms: &vmList{}}
	for _, s := range cfg.Services() {
		for _, l := range s.Leafs() {
			f.leafs = append(f.leafs, newLeaf(l, s, f.journal, seed, warm))
		}
	}
	return f
}

// Listen opens the port of every leaf and starts to serve it.
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
		return errors.Wrapf(err, "listen for leaf %s", l.name)
	}
	server := &http.Server{Handler: l, ConnState: l.connState, ReadHeaderTimeout: time.Minute}
	f.servers = append(f.servers, server)
	go (&serveLoop{server: server, listener: &limitedListener{Listener: listener, leaf: l}}).run()
	return nil
}

// serveLoop serves the connections of a listener until the server is closed.
type serveLoop struct {
	server   *http.Server
	listener net.Listener
}

func (s *serveLoop) run() {
	_ = s.server.Serve(s.listener)
}

// Close closes the servers of all leafs without waiting for requests to finish.
func (f *Fleet) Close() {
	var wg sync.WaitGroup
	for _, s := range f.servers {
		wg.Add(1)
		go (&serverCloser{server: s, wg: &wg}).run()
	}
	wg.Wait()
}

// serverCloser closes one server without waiting for its requests and then calls
// wg.Done.
type serverCloser struct {
	server *http.Server
	wg     *sync.WaitGroup
}

func (c *serverCloser) run() {
	defer c.wg.Done()
	_ = c.server.Shutdown(cancelledContext())
	_ = c.server.Close()
}

// cancelledContext returns a cancelled context, with which Shutdown does not wait
// for requests.
func cancelledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// SetBehaviour changes one setting of all leafs whose name matches the pattern,
// in the syntax of path.Match, or whose data centre is the pattern. It returns
// the number of these leafs. On an error it stops and counts the matching leafs
// up to and including the one for which the setting failed.
func (f *Fleet) SetBehaviour(pattern, key, value string) (int, error) {
	n := 0
	for _, l := range f.leafs {
		nameMatches, err := path.Match(pattern, l.name)
		if err != nil {
			return n, errors.Wrap(err, "match the names of leafs with the pattern")
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

// setBehaviour changes one setting. Three keys are not settings but trigger a
// single event, and their value is ignored: restart-cold simulates a restart,
// after which the leaf is unavailable for restartTime and then cold;
// turn-cold-untold makes the leaf cold without reporting it; and
// old-connections-silent makes the leaf never again answer on the connections that
// are open now.
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
