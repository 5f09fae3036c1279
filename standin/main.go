// Command standin replaces the systems around mulberrydale in demonstrations,
// tests and measurements: it serves fake targets for the leafs of a
// configuration, and a fake of the platform's list of VMs.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"github.com/mulberrydale/mulberrydale/core/version/configuration"
	"github.com/mulberrydale/mulberrydale/standin/fleet"
)

func main() {
	app := kingpin.New("standin", "Serves fake targets and a fake of the platform's list of VMs.")
	file := app.Flag("configuration", "Configuration file with the leafs to serve.").Required().String()
	control := app.Flag("control", "Address of the HTTP control interface.").Default("127.0.0.1:20900").String()
	seed := app.Flag("seed", "Seed of the random numbers.").Default("1").Uint64()
	warm := app.Flag("warm", "Start the leafs warm.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := run(*file, *control, *seed, *warm); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run serves the leafs of a configuration file and the control interface until
// the process gets SIGTERM or SIGINT.
func run(file, controlAddress string, seed uint64, warm bool) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "read the configuration file")
	}
	cfg, err := configuration.Decode(text)
	if err != nil {
		return err
	}
	f := fleet.New(cfg, seed, warm)
	if err := f.Listen(); err != nil {
		return err
	}
	defer f.Close()
	listener, err := net.Listen("tcp", controlAddress)
	if err != nil {
		return errors.Wrap(err, "listen for the control interface")
	}
	s := &controlServer{
		server:   &http.Server{Handler: f.ControlHandler(), ReadHeaderTimeout: 10 * time.Second},
		listener: listener,
	}
	go s.run()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	<-stop
	return nil
}

// controlServer serves the control interface until the process exits.
type controlServer struct {
	server   *http.Server
	listener net.Listener
}

func (c *controlServer) run() {
	_ = c.server.Serve(c.listener)
}
