package installation

import (
	"fmt"
	"os"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/mulberrydale/mulberrydale/runner/proxy"
)

// proxyAddress returns the address of the proxy through which the VM with index
// from dials the VM with index to.
func proxyAddress(from, to int) string {
	return fmt.Sprintf("127.0.0.1:%d", firstProxyPort+from*maxVMs+to)
}

// index returns the position of a VM in the installation.
func (in *Installation) index(v *VM) int { return slices.Index(in.vms, v) }

// startProxies starts a proxy for each ordered pair of VMs, so that each
// direction of a link can fail on its own. Proxies are keyed by the names of
// the dialling and the dialled VM, joined by ">".
func (in *Installation) startProxies() error {
	in.proxies = make(map[string]*proxy.Simplex)
	for i, from := range in.vms {
		for j, to := range in.vms {
			if i == j {
				continue
			}
			p, err := proxy.NewSimplex(proxyAddress(i, j), to.peersAddress)
			if err != nil {
				return err
			}
			in.proxies[from.name+">"+to.name] = p
		}
	}
	return nil
}

// SetLinkMode sets the mode of the proxy for the messages from one VM to
// another.
func (in *Installation) SetLinkMode(from, to *VM, mode proxy.Mode) {
	in.proxies[from.name+">"+to.name].SetMode(mode)
}

// RestoreLinks sets all proxies to forward again. Connections that lost bytes
// are closed.
func (in *Installation) RestoreLinks() {
	for _, p := range in.proxies {
		p.SetMode(proxy.Forward)
	}
}

// RemoveDataFolder removes the data folder of a VM, as if its disk were lost.
// The VM must not be running.
func (in *Installation) RemoveDataFolder(v *VM) error {
	return errors.Wrapf(os.RemoveAll(v.dataFolder), "remove the data folder of VM %s", v.name)
}
