package main

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"text/template"
)

//go:embed names.json
var namesText []byte

//go:embed settings.tmpl
var settingsText string

//go:embed config.tmpl
var configText string

var (
	settingsTemplate = template.Must(template.New("settings").Parse(settingsText))
	configTemplate   = template.Must(template.New("config").Parse(configText))
)

// names holds the names on the wire that this program uses, by its own names.
var names = decodeNames()

func decodeNames() map[string]string {
	out := make(map[string]string)
	if err := json.Unmarshal(namesText, &out); err != nil {
		panic(err)
	}
	return out
}

// tenant is a tenant with one key.
type tenant struct{ Name, Key string }

// config is a configuration. Without HasTenants it has no list of tenants.
type config struct {
	Version    int
	HasTenants bool
	Tenants    []tenant
	// Later adds the route to the later leafs.
	Later bool
}

// text returns the configuration as it is sent.
func (c config) text() []byte {
	var out bytes.Buffer
	if err := configTemplate.Execute(&out, c); err != nil {
		panic(err)
	}
	return out.Bytes()
}
