package emulator

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/time/rate"

	"hibiscusline/recorder"
)

// maxAppendWait is the longest wait of an append for the rate limiter.
const maxAppendWait = time.Second

// ServeHTTP serves the log's protocol (package recorder), GET and POST /control for the settings as JSON, and GET
// /counts for the counters.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/control":
		l.serveControl(w, r)
		return
	case r.URL.Path == "/counts":
		writeJSON(w, http.StatusOK, l.Counts())
		return
	}
	name, valid := streamName(r.URL.Path)
	if !valid {
		writeLogError(w, http.StatusNotFound, recorder.NotFound, "no such path: "+r.URL.Path)
		return
	}
	if !l.awaitOutageEnd(w, r) {
		return
	}
	switch r.Method {
	case http.MethodGet:
		l.serveRead(w, r, name)
	case http.MethodPost:
		l.serveAppend(w, r, name)
	default:
		writeLogError(w, http.StatusMethodNotAllowed, recorder.BadRequest, "allowed methods: GET, POST")
	}
}

func streamName(path string) (string, bool) {
	rest, prefix := strings.CutPrefix(path, "/streams/")
	name, suffix := strings.CutSuffix(rest, "/records")
	valid := prefix && suffix && name != "" && len(name) <= recorder.MaxStreamNameBytes && !strings.Contains(name, "/")
	return name, valid
}

// awaitOutageEnd reports whether the call may proceed. During an outage it either blocks or writes an error response.
func (l *Log) awaitOutageEnd(w http.ResponseWriter, r *http.Request) bool {
	for {
		outage, changed := l.outage()
		switch outage {
		case NoOutage:
			return true
		case Refuse:
			writeLogError(w, http.StatusServiceUnavailable, recorder.Down, "the log service is down")
			return false
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return false
		}
	}
}

func (l *Log) serveControl(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, recorder.MaxRecordBytes))
		if err == nil {
			err = l.ChangeJSON(body)
		}
		if err != nil {
			writeLogError(w, http.StatusBadRequest, recorder.BadRequest, err.Error())
			return
		}
	}
	writeJSON(w, http.StatusOK, l.Settings())
}

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request, name string) {
	from, err := queryNumber(r, "from", 1, math.MaxUint64)
	if err != nil {
		writeLogError(w, http.StatusBadRequest, recorder.BadRequest, err.Error())
		return
	}
	limit, err := queryNumber(r, "limit", recorder.MaxReadRecords, recorder.MaxReadRecords)
	if err != nil {
		writeLogError(w, http.StatusBadRequest, recorder.BadRequest, err.Error())
		return
	}
	if delay := l.Settings().ReadDelay.Value(); delay > 0 {
		select {
		case <-time.After(delay):
		case <-r.Context().Done():
			return
		}
	}
	reply := l.Read(name, from, int(limit))
	if l.withholdResponse() {
		<-r.Context().Done()
		return
	}
	writeCBOR(w, reply)
}

// queryNumber reads a query parameter, which must be at least 1. It returns defaultValue if the parameter is missing,
// and maximum if the value is larger.
func queryNumber(r *http.Request, name string, defaultValue, maximum uint64) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return defaultValue, nil
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil || value == 0 {
		return 0, fmt.Errorf("%s is %q; allowed: a whole number of at least 1", name, text)
	}
	return min(value, maximum), nil
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request, name string) {
	record, err := io.ReadAll(io.LimitReader(r.Body, recorder.MaxRecordBytes+1))
	switch {
	case err != nil:
		writeLogError(w, http.StatusBadRequest, recorder.BadRequest, "read body: "+err.Error())
		return
	case len(record) > recorder.MaxRecordBytes:
		writeLogError(w, http.StatusRequestEntityTooLarge, recorder.TooLarge,
			fmt.Sprintf("a record has at most %d bytes", recorder.MaxRecordBytes))
		return
	case len(record) == 0:
		writeLogError(w, http.StatusBadRequest, recorder.BadRequest, "a record must not be empty")
		return
	}
	wait, permitted := l.reserve()
	if !permitted {
		w.Header().Set("Retry-After", "1")
		writeLogError(w, http.StatusTooManyRequests, recorder.RateLimited, "the append rate is exceeded")
		return
	}
	// The delay ignores cancellation: a slow append takes effect even after its client has given up.
	time.Sleep(wait)
	offset := l.Append(name, record)
	if l.loseResponse() {
		panic(http.ErrAbortHandler)
	}
	if l.withholdResponse() {
		<-r.Context().Done()
		return
	}
	writeCBOR(w, recorder.AppendReply{Offset: offset})
}

// reserve returns how long an append has to wait, or false if it exceeds the rate limit.
func (l *Log) reserve() (time.Duration, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delay := l.settings.AppendDelay.Value()
	if l.limiter.Limit() == rate.Inf {
		return delay, true
	}
	reservation := l.limiter.Reserve()
	wait := reservation.Delay()
	if wait > maxAppendWait {
		reservation.Cancel()
		l.counts.RateLimited++
		return 0, false
	}
	return wait + delay, true
}

func writeLogError(w http.ResponseWriter, status int, reason recorder.Reason, message string) {
	writeJSON(w, status, recorder.ErrorReply{Reason: reason, Message: message})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		status, data = http.StatusInternalServerError, []byte(`{"message":"encode answer"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(append(data, '\n'))
}

func writeCBOR(w http.ResponseWriter, value any) {
	data, err := cbor.Marshal(value)
	if err != nil {
		writeJSON(w, http.StatusInternalServerError, map[string]string{"message": err.Error()})
		return
	}
	w.Header().Set("Content-Type", "application/cbor")
	w.Write(data)
}
