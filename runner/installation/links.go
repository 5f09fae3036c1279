package installation

import (
	"fmt"
	"os"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/mulberrydale/mulberrydale/runner/proxy"
)

// proxyAddress is where VM number from dials VM number to.
func proxyAddress(from, to int) string {
	return fmt.Sprintf("127.0.0.1:%d", firstProxyPort+from*maxVMs+to)
}

func (in *Installation) index(v *VM) int { return slices.Index(in.vms, v) }

// startProxies puts a proxy into each link between two VMs.
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

// SetLinkMode sets what becomes of the messages from one VM to another.
func (in *Installation) SetLinkMode(from, to *VM, mode proxy.Mode) {
	in.proxies[from.name+">"+to.name].SetMode(mode)
}

// RestoreLinks ends all cuts.
func (in *Installation) RestoreLinks() {
	for _, p := range in.proxies {
		p.SetMode(proxy.Forward)
	}
}

// RemoveDataFolder removes the data folder of a VM that does not run.
func (in *Installation) RemoveDataFolder(v *VM) error {
	return errors.Wrapf(os.RemoveAll(v.dataFolder), "VM %s", v.name)
}
