package control

import (
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/mulberrydale/mulberrydale/core/process/journal"
	"github.com/mulberrydale/mulberrydale/core/result"
)

const (
	// firstStartName is the name of the file with the VMs of the first start, one a line. It
	// stands beside the journal, so that a lost disk takes both.
	firstStartName = "first-start"
	// firstStartTempName is the name of that file while it is written.
	firstStartTempName = "first-start.next"
)

// RecordFirstStart stores that this VM takes part in the first start of an installation, with
// the VMs of which the lowest bootstraps the log. If its process ends before there is a log,
// the next one still bootstraps it: as long as the disk of the lowest of these VMs has this
// record and no log, no VM can have one. It is called before Run. The error is FolderUnusable.
func (c *Control) RecordFirstStart(vms []string) error {
	if c.node.Bootstrapped() {
		return nil
	}
	path, temp := filepath.Join(c.folder, firstStartName), filepath.Join(c.folder, firstStartTempName)
	if err := writeSynced(temp, strings.Join(vms, "\n")); err != nil {
		return result.Wrap(err, result.FolderUnusable, "failed to write the record of the first start")
	}
	if err := os.Rename(temp, path); err != nil {
		return result.Wrap(err, result.FolderUnusable, "failed to rename the record of the first start")
	}
	c.firstStartVMs = vms
	return journal.SystemDisk().SyncFolder(c.folder)
}

// writeSynced writes a file and syncs it.
func writeSynced(path, text string) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	defer file.Close()
	if _, err := file.WriteString(text); err != nil {
		return err
	}
	return file.Sync()
}

// loadFirstStart reads the record of an earlier process. It removes the record of a replica
// that has a log, for which it has no meaning.
func (c *Control) loadFirstStart(folder string) {
	c.folder = folder
	path := filepath.Join(folder, firstStartName)
	if c.node.Bootstrapped() {
		// A record that stays is not read as long as there is a log.
		_ = os.Remove(path)
		return
	}
	if text, err := os.ReadFile(path); err == nil {
		c.firstStartVMs = strings.Fields(string(text))
	}
}

// MayBootstrap reports whether this VM may bootstrap the log: in the first start, or after a
// first start that ended before there was one.
func (c *Control) MayBootstrap() bool {
	if c.peers.MayBootstrap() {
		return true
	}
	return len(c.firstStartVMs) > 0 && slices.Min(c.firstStartVMs) == c.self.VM()
}
