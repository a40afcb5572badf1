package emulator

import (
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"hibiscusline/recorder"
	"hibiscusline/timer"
)

// Request headers that a server reads.
const (
	HeaderKey            = "Hibiscus-Key"
	HeaderRange          = "Hibiscus-Range"
	HeaderEpoch          = "Hibiscus-Epoch"
	HeaderDeadline       = "Hibiscus-Deadline-Ms"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestID      = "X-Request-Id"
	// HeaderCrash makes the server crash while it runs the request.
	HeaderCrash = "X-Emulator-Crash"
)

// HeaderServer is the response header with the server's name.
const HeaderServer = "X-Emulator-Server"

// MaxBodyBytes is the size of the largest request or response body.
const MaxBodyBytes = 16 << 20

// Echo is the JSON body of a successful response.
type Echo struct {
	Service        string `json:"service"`
	Server         string `json:"server"`
	Method         string `json:"method"`
	Path           string `json:"path"`
	Key            string `json:"key"`
	IdempotencyKey string `json:"idempotency_key"`
	RequestID      string `json:"request_id"`
	// BodyHash is the xxhash64 of the request body in hexadecimal.
	BodyHash string `json:"body_hash"`
	BodySize int    `json:"body_size"`
}

// ErrorResponse is the JSON body of an error response.
type ErrorResponse struct {
	Reason    Failure `json:"reason"`
	Message   string  `json:"message"`
	Server    string  `json:"server"`
	RequestID string  `json:"request_id"`
}

// Health is the JSON body of /health.
type Health struct {
	// Status is "ok" or "draining".
	Status string `json:"status"`
}

// Load is the JSON body of /load.
type Load struct {
	InFlight    int     `json:"in_flight"`
	Queued      int     `json:"queued"`
	Slots       int     `json:"slots"`
	Utilization float64 `json:"utilization"`
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ledger", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.config.Ledger.Report())
	})
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Counts()) })
	mux.HandleFunc("GET /control", s.serveControl)
	mux.HandleFunc("POST /control", s.serveControl)
	mux.HandleFunc("POST /crash", func(w http.ResponseWriter, _ *http.Request) {
		s.Crash()
		panic(http.ErrAbortHandler)
	})
	mux.HandleFunc("GET /health", s.probe(func() any { return s.reportHealth() }))
	mux.HandleFunc("GET /load", s.probe(func() any { return s.reportLoad() }))
	mux.HandleFunc("/", s.serveRequest)
	return mux
}

func (s *Server) serveControl(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, recorder.MaxRecordBytes))
		if err == nil {
			err = s.ChangeJSON(body)
		}
		if err != nil {
			s.writeError(w, r, http.StatusBadRequest, BadRequest, err.Error())
			return
		}
	}
	writeJSON(w, http.StatusOK, s.Settings())
}

// probe returns a handler that takes the configured probe cost but no slot, and writes the result of report as JSON.
func (s *Server) probe(report func() any) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		inc := s.currentIncarnation()
		if s.sleep(r.Context(), inc, s.Settings().ProbeCost.Value()) == Cancelled {
			return
		}
		s.waitForThaw(inc)
		writeJSON(w, http.StatusOK, report())
	}
}

func (s *Server) reportHealth() Health {
	if settings := s.Settings(); settings.Draining && !settings.HealthLags {
		return Health{Status: "draining"}
	}
	return Health{Status: "ok"}
}

func (s *Server) reportLoad() Load {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	busy := len(s.slots)
	current := Load{
		InFlight: busy, Queued: s.waiting, Slots: s.config.Slots,
		Utilization: float64(busy+s.waiting) / float64(s.config.Slots),
	}
	switch s.settings.LoadReport {
	case ConstantLoad:
		value := s.settings.LoadValue
		return Load{InFlight: int(value * float64(s.config.Slots)), Slots: s.config.Slots, Utilization: value}
	case LaggingLoad:
		now := timer.Now()
		if s.lastLoadAt == 0 || now-s.lastLoadAt >= s.settings.LoadLag.Value() {
			s.lastLoad, s.lastLoadAt = current, now
		}
		return s.lastLoad
	}
	return current
}

func (s *Server) writeError(w http.ResponseWriter, r *http.Request, status int, reason Failure, message string) {
	w.Header().Set(HeaderServer, s.config.Name)
	writeJSON(w, status, ErrorResponse{
		Reason: reason, Message: message, Server: s.config.Name, RequestID: r.Header.Get(HeaderRequestID),
	})
}

// writeResponse writes a success response: the request body for /echo, N bytes for /size/N, else an Echo.
func (s *Server) writeResponse(w http.ResponseWriter, r *http.Request, body []byte) {
	w.Header().Set(HeaderServer, s.config.Name)
	if r.URL.Path == "/echo" {
		w.Header().Set("Content-Type", "application/octet-stream")
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		w.Write(body)
		return
	}
	if text, sized := strings.CutPrefix(r.URL.Path, "/size/"); sized {
		s.writeSizedResponse(w, r, text)
		return
	}
	var sum [8]byte
	hash := xxhash.Sum64(body)
	for i := range sum {
		sum[i] = byte(hash >> (56 - 8*i))
	}
	writeJSON(w, http.StatusOK, Echo{
		Service: s.config.Service, Server: s.config.Name, Method: r.Method, Path: r.URL.Path,
		Key: r.Header.Get(HeaderKey), IdempotencyKey: r.Header.Get(HeaderIdempotencyKey),
		RequestID: r.Header.Get(HeaderRequestID), BodyHash: hex.EncodeToString(sum[:]), BodySize: len(body),
	})
}

func (s *Server) writeSizedResponse(w http.ResponseWriter, r *http.Request, text string) {
	size, err := strconv.Atoi(text)
	if err != nil || size < 0 || size > MaxBodyBytes {
		s.writeError(w, r, http.StatusBadRequest, BadRequest, "size is "+text+"; allowed: 0 to "+strconv.Itoa(MaxBodyBytes))
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(size))
	w.Write(SizedBody(r.Header.Get(HeaderRequestID), size))
}

// SizedBody returns the body of /size/N for a request id: lines with the id, truncated to the size in bytes.
func SizedBody(requestID string, size int) []byte {
	line := requestID + "\n"
	return []byte(strings.Repeat(line, size/len(line)+1)[:size])
}

// minUnixDeadlineMillis is the smallest value of Hibiscus-Deadline-Ms that is interpreted as a Unix time (in the year
// 2001). Smaller values are the remaining time.
const minUnixDeadlineMillis = 1_000_000_000_000

// parseDeadline returns the deadline of a request as a time of package timer. It reports false if the text is empty.
func parseDeadline(text string) (time.Duration, bool, error) {
	if text == "" {
		return 0, false, nil
	}
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, false, err
	}
	remaining := time.Duration(value) * time.Millisecond
	if value >= minUnixDeadlineMillis {
		remaining = time.Until(time.UnixMilli(value))
	}
	return timer.Now() + remaining, true, nil
}
