// Package place declares sets of similar leafs, as the example declarations need
// them. It gives each leaf a numbered name, a data centre and an address.
package place

import (
	"fmt"

	"github.com/mulberrydale/mulberrydale/declaration"
)

// Ports assigns consecutive ports of one IP address to leafs and distributes
// the leafs over data centres in round-robin order.
type Ports struct {
	ip          string
	nextPort    int
	dataCentres []string
	leafCount   int
}

// NewPorts returns a Ports for the IP address ip, whose first leaf gets
// firstPort. dataCentres must not be empty; otherwise Leafs panics.
func NewPorts(ip string, firstPort int, dataCentres ...string) *Ports {
	return &Ports{ip: ip, nextPort: firstPort, dataCentres: dataCentres}
}

// Leafs adds n leafs to the service. Each gets the next port and the next data
// centre. Their names are the name of the service, a hyphen and a number of at
// least two digits, which starts with 01 in each call.
func (p *Ports) Leafs(s *declaration.Service, n int) {
	for i := range n {
		name := fmt.Sprintf("%s-%02d", s.Name(), i+1)
		dataCentre := p.dataCentres[p.leafCount%len(p.dataCentres)]
		s.Leaf(name, dataCentre, fmt.Sprintf("%s:%d", p.ip, p.nextPort))
		p.nextPort++
		p.leafCount++
	}
}

// Services declares n services with the same limits and the given number of
// leafs each. The names of the services are the prefix, a hyphen and a number of
// at least two digits, which starts with 01 in each call.
func (p *Ports) Services(d *declaration.Declaration, prefix string, n, leafsPerService int, limits declaration.Limits) []*declaration.Service {
	var services []*declaration.Service
	for i := range n {
		s := d.Service(fmt.Sprintf("%s-%02d", prefix, i+1), limits)
		p.Leafs(s, leafsPerService)
		services = append(services, s)
	}
	return services
}
