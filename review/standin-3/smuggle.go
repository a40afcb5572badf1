package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// smuggledOrders is the number of orders of this case, each with a text that is a request.
const smuggledOrders = 5

// playSmuggle sends orders whose body is the text of another request. With the disruption, a blank stands before the colon of the
// field with the length of the body.
func playSmuggle(w *world, trouble bool) error {
	routes := []route{{"orders", "/orders/", "non_idempotent", "orders", 5 * time.Second}}
	if err := w.publish(1, routes, map[string]bool{"orders": false}); err != nil {
		return err
	}
	n, err := w.newNode("node-1", "orders")
	if err != nil {
		return err
	}
	s := n.newServer("i-1", time.Now().UnixMilli(), func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		n.world.printf("server ran %s %s, id %s, body %q", r.Method, r.URL.Path, r.Header.Get("Attempt-Id"), body)
		w.Header().Set("Response-Signature", "s")
		_, _ = io.WriteString(w, "done")
	})
	if err := s.start(); err != nil {
		return err
	}
	if err := n.start(); err != nil {
		return err
	}
	if err := n.awaitReady(10 * time.Second); err != nil {
		return err
	}
	time.Sleep(1500 * time.Millisecond)
	name := "Content-Length:"
	if trouble {
		name = "Content-Length :"
	}
	ran, answered := 0, 0
	for i := range smuggledOrders {
		inner, outer := fmt.Sprintf("inner-%d", i), fmt.Sprintf("outer-%d", i)
		text := "POST /orders/inner HTTP/1.1\r\nHost: " + host + "\r\nAttempt-Id: " + inner + "\r\nDeadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n"
		answer, err := exchangeText(n, fmt.Sprintf("POST /orders/outer HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 2000\r\n%s %d\r\n\r\n%s",
			host, outer, name, len(text), text))
		if err != nil {
			return err
		}
		w.printf("order %s with %q: ran %d times, the request in its body %d times; answers %q", outer, name, s.runs(outer), s.runs(inner), answer)
		ran += s.runs(inner)
		if len(answer) > 0 {
			answered++
		}
	}
	switch {
	case ran > 0:
		return errors.Wrapf(errBroken, "UNASKED: %d requests ran that were smuggled inside others", ran)
	case answered == 0:
		return errors.New("no answers")
	}
	return nil
}

// exchangeText sends a text on a connection of its own and returns what arrives within a second.
func exchangeText(n *node, text string) (string, error) {
	c, err := net.Dial("tcp4", n.listen.String())
	if err != nil {
		return "", errors.WithStack(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, text); err != nil {
		return "", errors.WithStack(err)
	}
	if err := c.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
		return "", errors.WithStack(err)
	}
	data, _ := io.ReadAll(c) // It ends with the time.
	return string(data), nil
}
