//go:build review

package main

import (
	"encoding/base64"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
)

func init() { cases["odd-entry"] = oddEntry }

const (
	// catalogueMachines is the number of machines of the service that is divided by key, and oddEntries that of the odd
	// entries, which are for each of these machines in turn.
	catalogueMachines, oddEntries = 5, 15
	// incarnationField and stateField are the fields of an entry that name the lifetime of the server and its state.
	incarnationField, stateField = 5, 6
)

// oddEntry lets a system of eleven machines run. With the trouble, another writer puts an entry for one of them in which
// fields are missing.
func oddEntry(w *world) ([]string, error) {
	if err := w.publish(1); err != nil {
		return nil, err
	}
	for _, m := range []struct{ service, zone string }{
		{"catalogue", "bunbury"},
		{"catalogue", "bunbury"},
		{"catalogue", "manjimup"},
		{"catalogue", "manjimup"},
		{"catalogue", "perth-depot"},
		{"orders", "bunbury"},
		{"orders", "manjimup"},
		{"orders", "perth-depot"},
		{"patterns", "bunbury"},
		{"patterns", "manjimup"},
		{"patterns", "perth-depot"},
	} {
		if _, err := w.addNode(m.service, m.zone); err != nil {
			return nil, err
		}
	}
	if err := w.startAll(); err != nil {
		return nil, err
	}
	if err := w.await("all keys are held", 30*time.Second, w.allHeld); err != nil {
		return nil, err
	}
	time.Sleep(6 * time.Second)
	o := w.watchOverlaps()
	for i := range oddEntries {
		n := w.nodes[i%catalogueMachines]
		if err := w.putOddEntry(n); err != nil {
			return nil, err
		}
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	return o.end(w), nil
}

// putOddEntry puts the newest entry of a machine again, with the trouble, without the fields that name the lifetime and
// the state of its server. It waits for a report of the server before.
func (w *world) putOddEntry(n *node) error {
	seq := n.backend().reports()
	if err := w.await("a server has just reported", 3*time.Second, func() bool { return n.backend().reports() > seq }); err != nil {
		return err
	}
	time.Sleep(50 * time.Millisecond)
	record, err := w.newest("keyed.hibiscusline", "member/"+n.name)
	if err != nil || !w.trouble {
		return err
	}
	record[incarnationField], record[stateField] = nil, nil
	data, err := cbor.Marshal(record)
	if err != nil {
		return err
	}
	w.store.Put("keyed.hibiscusline", "member/"+n.name, data)
	w.logf("another writer puts member/%s: %v", n.name, record)
	return nil
}

// newest returns the fields of the newest record of a key.
func (w *world) newest(topic, key string) ([]any, error) {
	r, err := http.Get(fmt.Sprintf("http://%s/log-newest?topic=%s&part=0", w.store.address, topic))
	if err != nil {
		return nil, err
	}
	defer func() { _ = r.Body.Close() }()
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	var body struct {
		Items []struct {
			Key   string `cbor:"key"`
			Value string `cbor:"value"`
		} `cbor:"items"`
	}
	if err := cbor.Unmarshal(data, &body); err != nil {
		return nil, err
	}
	for _, i := range body.Items {
		if i.Key != key {
			continue
		}
		value, err := base64.StdEncoding.DecodeString(i.Value)
		if err != nil {
			return nil, err
		}
		var fields []any
		return fields, cbor.Unmarshal(value, &fields)
	}
	return nil, fmt.Errorf("no record of %s", key)
}
