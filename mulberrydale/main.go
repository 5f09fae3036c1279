// Command mulberrydale is the server that runs on every VM of an installation. It
// also checks settings files, configurations and documents of routes.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/mulberrydale/mulberrydale/core/process/host"
	"github.com/mulberrydale/mulberrydale/core/result"
	"github.com/mulberrydale/mulberrydale/core/version/configuration"
	"github.com/mulberrydale/mulberrydale/mulberrydale/routes"
	"github.com/mulberrydale/mulberrydale/mulberrydale/settings"
)

// version is the release version, as in CHANGELOG.md.
const version = "0.3.0"

func main() {
	app := kingpin.New("mulberrydale", "A query tier over many shards.")
	serve := app.Command("serve", "Run the server for callers, peers and operators.")
	serveSettings := serve.Flag("settings", "Settings file of this VM.").Required().String()
	route := app.Command("route", "Run the server with a document of routes and a target list.")
	routeSettings := route.Flag("settings", "Settings file of this VM.").Required().String()
	checkRoutes := app.Command("check-routes", "Check a document of routes.")
	checkRoutesFile := checkRoutes.Arg("file", "Document of routes.").Required().String()
	checkRouteSettings := app.Command("check-route-settings", "Check a settings file of the route command.")
	checkRouteSettingsFile := checkRouteSettings.Arg("file", "Settings file.").Required().String()
	check := app.Command("check", "Check a configuration file.")
	checkFile := check.Arg("file", "Configuration file.").Required().String()
	checkSettings := app.Command("check-settings", "Check a settings file of the serve command.")
	checkSettingsFile := checkSettings.Arg("file", "Settings file.").Required().String()
	showVersion := app.Command("version", "Print the version.")

	var err error
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case serve.FullCommand():
		err = runServer(*serveSettings)
	case route.FullCommand():
		err = host.Run(*routeSettings, routes.Wire{})
	case checkRoutes.FullCommand():
		err = host.CheckRoutes(os.Stdout, *checkRoutesFile, routes.Wire{})
	case checkRouteSettings.FullCommand():
		err = host.CheckSettings(*checkRouteSettingsFile, routes.Wire{})
	case check.FullCommand():
		err = checkConfiguration(*checkFile)
	case checkSettings.FullCommand():
		_, err = settings.Read(*checkSettingsFile)
	case showVersion.FullCommand():
		fmt.Println("mulberrydale", version)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(result.CodeOf(err).ExitStatus())
	}
}

// checkConfiguration checks a configuration file and, if it is valid, prints a
// summary to standard output. The error is DocumentMissing if the file can't be
// read, otherwise it is that of configuration.Decode.
func checkConfiguration(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return result.Wrap(err, result.DocumentMissing, "read the configuration file")
	}
	cfg, err := configuration.Decode(text)
	if err != nil {
		return err
	}
	leafs := 0
	for _, s := range cfg.Services() {
		leafs += len(s.Leafs())
	}
	fmt.Printf("%d %s: %s: %d data centres, %d services, %d leafs, %d queries, %d non-idempotent requests\n",
		result.DocumentValid, result.DocumentValid, cfg.Operator(), len(cfg.DataCentres()), len(cfg.Services()),
		leafs, len(cfg.Queries()), len(cfg.NonIdempotentRequests()))
	return nil
}
