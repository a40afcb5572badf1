package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

const (
	// steadyBytes is what the slow consumer of this case reads each steadyPause.
	steadyBytes = 8 << 10
	steadyPause = 50 * time.Millisecond
	// drawingBytes is the length of the file, and
	drawingBytes = 4 << 20
	// consumerTime is the time budget of its requests, and the timeout of their route.
	consumerTime = 60 * time.Second
	// pipelinedHere is the number of requests that it sends before the first is answered.
	pipelinedHere = 3
)

// playMixed lets one consumer download files, some of them on one connection, as slowly and steadily as a narrow line would. It
// checks that a success has the whole body of the answer of the server that it belongs to.
func playMixed(w *world, trouble bool) error {
	routes := []route{{"patterns", "/patterns/", "download", "patterns", consumerTime}}
	if err := w.publish(1, routes, map[string]bool{"patterns": false}); err != nil {
		return err
	}
	n, err := w.newNode("node-1", "patterns")
	if err != nil {
		return err
	}
	s := n.newServer("i-1", time.Now().UnixMilli(), func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Attempt-Id")
		w.Header().Set("Response-Signature", "s."+id)
		w.Header().Set("Content-Length", strconv.Itoa(drawingBytes))
		_, _ = w.Write(fileFor(id))
		n.world.printf("server answered %s whole", id)
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
	c, err := dialAsConsumer(n.listen, receiveBuffer)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	for i := range pipelinedHere {
		if _, err := fmt.Fprintf(c, "GET /patterns/f HTTP/1.1\r\nHost: %s\r\nAttempt-Id: d%d\r\nDeadline-Ms: %d\r\n\r\n",
			host, i, consumerTime.Milliseconds()); err != nil {
			return errors.WithStack(err)
		}
	}
	w.printf("consumer sent %d requests on one connection, reads slowly: %v", pipelinedHere, trouble)
	var source io.Reader = c
	if trouble {
		source = slowReader{c, steadyBytes, steadyPause}
	}
	return w.checkAnswers(bufio.NewReaderSize(source, 4<<10))
}

// checkAnswers reads the answers, in the order of the requests, and returns errBroken if a success isn't the answer of the server.
func (w *world) checkAnswers(reader *bufio.Reader) error {
	whole := 0
	for i := range pipelinedHere {
		id := fmt.Sprintf("d%d", i)
		r, err := http.ReadResponse(reader, nil)
		if err != nil {
			w.printf("no answer to %s: %v", id, err)
			break
		}
		body, err := io.ReadAll(r.Body)
		w.printf("answer to %s: status %d, id %s, signature %s, Content-Length %d, %d bytes, error %v", id, r.StatusCode,
			r.Header.Get("Attempt-Id"), r.Header.Get("Response-Signature"), r.ContentLength, len(body), err)
		if err != nil {
			break
		}
		if r.StatusCode != http.StatusOK {
			continue
		}
		if want := fileFor(id); !bytes.Equal(body, want) {
			at := 0
			for at < len(body) && at < len(want) && body[at] == want[at] {
				at++
			}
			w.printf("the body of %s isn't the server's: from byte %d on it is %.120q", id, at, body[at:])
			return errors.Wrapf(errBroken, "MIXED: %s is a success with a body that isn't the whole body of the server", id)
		}
		whole++
	}
	w.printf("%d of %d answers whole", whole, pipelinedHere)
	if whole == 0 {
		return errors.New("no answer was whole")
	}
	return nil
}

// fileFor returns the body of the answer to a request.
func fileFor(id string) []byte {
	line := []byte("file of " + id + "\n")
	return bytes.Repeat(line, drawingBytes/len(line)+1)[:drawingBytes]
}
