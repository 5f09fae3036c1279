package cluster

import (
	"context"
	"time"

	"github.com/mulberrydale/mulberrydale/core/connection/session"
	"github.com/mulberrydale/mulberrydale/core/process/replica"
)

// addControlVMs starts a dialer for each address of a control VM that has none
// yet.
func (c *Cluster) addControlVMs(addresses []string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx == nil {
		return
	}
	for _, address := range addresses {
		if address == c.self.address || address == "" || c.controlLinks[address] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(c.ctx)
		c.controlLinks[address] = &controlLink{cancel: cancel, lastSeen: now}
		go (&dialLoop{dialer: session.NewDialer(address, c)}).run(ctx)
	}
}

// dropExpiredControlVMs stops dialling control VMs that have sent no presence
// for controlVMExpiry. Seeds are always kept; a control VM also keeps the voters,
// which an entry VM does not know.
func (c *Cluster) dropExpiredControlVMs(now time.Time) {
	keep := make(map[string]bool)
	if c.control != nil {
		for _, m := range c.control.Status().Voters().Members() {
			keep[m.VM()] = true
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, seed := range c.seeds {
		keep[seed] = true
	}
	for address, link := range c.controlLinks {
		if !keep[address] && now.Sub(link.lastSeen) > controlVMExpiry {
			link.cancel()
			delete(c.controlLinks, address)
		}
	}
}

// voterAddresses returns the addresses of the voters.
func voterAddresses(voters replica.Voters) []string {
	var out []string
	for _, m := range voters.Members() {
		out = append(out, m.VM())
	}
	return out
}
