package installation

import (
	"os/exec"
)

// VM is an entry VM of the installation and its process. exited is closed when
// the process has exited; exitErr may be read only after that.
type VM struct {
	name             string
	centre           string
	callersAddress   string
	operatorsAddress string
	peersAddress     string
	settingsFile     string
	dataFolder       string
	cmd              *exec.Cmd
	exited           chan struct{}
	exitErr          error
}

// Name returns the name of the VM.
func (v *VM) Name() string { return v.name }

// DataCentre returns the data centre of the VM.
func (v *VM) DataCentre() string { return v.centre }

// CallersAddress returns the address for callers.
func (v *VM) CallersAddress() string { return v.callersAddress }

// OperatorsAddress returns the address for operators.
func (v *VM) OperatorsAddress() string { return v.operatorsAddress }

// DataFolder returns the data folder, or an empty string if the VM holds no
// replica of the log.
func (v *VM) DataFolder() string { return v.dataFolder }
