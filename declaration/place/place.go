// Package place gives out names, data centres and addresses for leafs that
// are alike, in the manner of the example declarations.
package place

import (
	"fmt"

	"github.com/mulberrydale/mulberrydale/declaration"
)

// Ports gives out ports of one IP number, one after another, and spreads
// leafs over data centres in turn.
type Ports struct {
	ip      string
	next    int
	centres []string
	placed  int
}

// NewPorts returns ports from first on at the IP number.
func NewPorts(ip string, first int, centres ...string) *Ports {
	return &Ports{ip: ip, next: first, centres: centres}
}

// Leafs adds n leafs to the service, each in the next data centre.
func (p *Ports) Leafs(s *declaration.Service, n int) {
	for i := range n {
		name := fmt.Sprintf("%s-%02d", s.Name(), i+1)
		centre := p.centres[p.placed%len(p.centres)]
		s.Leaf(name, centre, fmt.Sprintf("%s:%d", p.ip, p.next))
		p.next++
		p.placed++
	}
}

// Services declares n services of equal limits with a number of leafs each.
func (p *Ports) Services(d *declaration.Declaration, prefix string, n, leafs int, limits declaration.Limits) []*declaration.Service {
	var out []*declaration.Service
	for i := range n {
		s := d.Service(fmt.Sprintf("%s-%02d", prefix, i+1), limits)
		p.Leafs(s, leafs)
		out = append(out, s)
	}
	return out
}
