package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// applyBound is config-apply-ms of the settings.
const applyBound = 3 * time.Second

// notJSON sends a configuration that no reader of JSON can read: a comma follows its last
// member. Without trouble it is the same configuration without this comma.
func notJSON(r *record, trouble bool) (verdict, error) {
	d, err := newDeployment(r)
	if err != nil {
		return unusable, err
	}
	defer d.end()
	if err := d.startAll(); err != nil {
		return unusable, err
	}
	t := startTraffic(r, "", d.entries...)
	defer t.end()
	text := bytes.TrimSpace(config{Version: 9}.text())
	if trouble {
		text = append(bytes.TrimSuffix(text, []byte("}")), ",}"...)
	}
	r.say("the configuration with version 9 is JSON: %t", json.Valid(text))
	status := 0
	for _, m := range d.control {
		if status, _ = d.call(m, http.MethodPut, "/config", text); status != 0 && status != http.StatusServiceUnavailable {
			break
		}
	}
	r.say("it is answered with %d", status)
	time.Sleep(applyBound)
	readable := true
	for _, m := range d.control {
		res, err := http.Get("http://" + m.Control + "/config")
		if err != nil {
			return unusable, err
		}
		back, err := io.ReadAll(res.Body)
		res.Body.Close()
		if err != nil || res.StatusCode != http.StatusOK {
			r.say("%s answers a read with %d", m.Name, res.StatusCode)
			continue
		}
		var content struct{ Version int }
		err = json.Unmarshal(back, &content)
		r.say("%s answers a read with %d bytes, version %d, error of the JSON reader: %v", m.Name, len(back), content.Version, err)
		readable = readable && err == nil
	}
	if trouble && status == http.StatusOK || !readable {
		return broken, nil
	}
	return held, nil
}
