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
	ip          string
	nextPort    int
	dataCentres []string
	leafCount   int
}

// NewPorts returns ports from first on at the IP number.
func NewPorts(ip string, firstPort int, dataCentres ...string) *Ports {
	return &Ports{ip: ip, nextPort: firstPort, dataCentres: dataCentres}
}

// Leafs adds n leafs to the service, each in the next data centre.
func (p *Ports) Leafs(s *declaration.Service, n int) {
	for i := range n {
		name := fmt.Sprintf("%s-%02d", s.Name(), i+1)
		dataCentre := p.dataCentres[p.leafCount%len(p.dataCentres)]
		s.Leaf(name, dataCentre, fmt.Sprintf("%s:%d", p.ip, p.nextPort))
		p.nextPort++
		p.leafCount++
	}
}

// Services declares n services of equal limits with a number of leafs each.
func (p *Ports) Services(d *declaration.Declaration, prefix string, n, leafs int, limits declaration.Limits) []*declaration.Service {
	var services []*declaration.Service
	for i := range n {
		s := d.Service(fmt.Sprintf("%s-%02d", prefix, i+1), limits)
		p.Leafs(s, leafs)
		services = append(services, s)
	}
	return services
}
