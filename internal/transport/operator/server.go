// Package operator serves the operators' HTTP interface on a separate port.
package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/hornbeammast/hornbeammast/internal/protocol/operatorapi"
	"github.com/hornbeammast/hornbeammast/internal/protocol/verdict"
	"github.com/hornbeammast/hornbeammast/internal/protocol/wire"
	"github.com/hornbeammast/hornbeammast/internal/state"
	"github.com/hornbeammast/hornbeammast/internal/transport/httpconn"
	"github.com/hornbeammast/hornbeammast/internal/transport/inbound"
)

const (
	// maxBody bounds the body of a patch, in bytes.
	maxBody = 1 << 20
	// maxConns is the maximum number of open connections.
	maxConns = 256
	// maxReceived bounds the bytes received and not yet answered over all connections.
	maxReceived = 16 << 20
	// submitTimeout bounds the wait for the outcome of a submitted record.
	submitTimeout = 10 * time.Second
)

// Handler carries out operators' requests; the entry host implements it.
type Handler interface {
	// Submit submits a record and returns the outcome of its fold.
	Submit(ctx context.Context, record *wire.Record) (state.Outcome, error)
	// DryRun folds a record into a copy of the state and returns the outcome; nothing is
	// submitted.
	DryRun(record *wire.Record) (state.Outcome, error)
	Config(version uint64) ([]byte, uint64, bool)
	Record(id string) (state.Outcome, bool)
	Status() operatorapi.Status
	Plan(weeks int) any
	Dump() any
	Metrics() string
}

// Server serves operators' requests.
type Server struct {
	http    *httpconn.Server
	handler Handler
}

// Listen starts a server at an address.
func Listen(address netip.AddrPort, handler Handler) (*Server, error) {
	s := &Server{handler: handler}
	server, err := httpconn.Listen(address, s.routes(), httpconn.Limits{MaxBody: maxBody, MaxConns: maxConns},
		httpconn.WithGuard(inbound.NewGuard(maxReceived, nil)))
	if err != nil {
		return nil, err
	}
	s.http = server
	return s, nil
}

// Address returns the address on which the server listens.
func (s *Server) Address() netip.AddrPort { return s.http.Address() }

// Close stops the server.
func (s *Server) Close() { s.http.Close() }

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /config/patch", s.patch)
	mux.HandleFunc("GET /config", s.config)
	mux.HandleFunc("GET /config/record/{id}", s.record)
	mux.HandleFunc("GET /status", s.status)
	mux.HandleFunc("GET /plan", s.plan)
	mux.HandleFunc("GET /dump", s.dump)
	mux.HandleFunc("GET /debug/vars", s.metrics)
	mux.HandleFunc("POST /hosts/{host}/{action}", s.host)
	mux.HandleFunc("POST /data-centres/{name}/{action}", s.dataCentre)
	mux.HandleFunc("POST /restore/{action}", s.restore)
	return mux
}

func (s *Server) patch(w http.ResponseWriter, r *http.Request) {
	base, err := strconv.ParseUint(r.URL.Query().Get("base"), 10, 64)
	if err != nil {
		writeProblem(w, http.StatusBadRequest, "base must be the version that the patch was written against")
		return
	}
	format, ok := formats[r.URL.Query().Get("format")]
	if !ok {
		writeProblem(w, http.StatusBadRequest, "format must be json-patch or merge-patch")
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		writeProblem(w, http.StatusBadRequest, err.Error())
		return
	}
	s.submitRecord(w, r, &wire.Record{Body: &wire.Record_Patch{Patch: &wire.Patch{BaseVersion: base, Format: format, Document: body}}})
}

var formats = map[string]wire.PatchFormat{
	"json-patch":  wire.PatchFormat_PATCH_FORMAT_JSON_PATCH,
	"merge-patch": wire.PatchFormat_PATCH_FORMAT_MERGE_PATCH,
}

func (s *Server) host(w http.ResponseWriter, r *http.Request) {
	action := &wire.HostAction{Host: r.PathValue("host")}
	record := &wire.Record{}
	switch r.PathValue("action") {
	case "drain":
		action.Then = string(state.Hold)
		if r.URL.Query().Get("then") != "" {
			action.Then = r.URL.Query().Get("then")
		}
		record.Body = &wire.Record_Drain{Drain: action}
	case "move":
		action.Then = string(state.Move)
		action.ToPool = r.URL.Query().Get("to")
		record.Body = &wire.Record_Drain{Drain: action}
	case "return":
		record.Body = &wire.Record_ReturnHost{ReturnHost: action}
	case "release":
		record.Body = &wire.Record_Release{Release: &wire.Release{Host: action.GetHost(), ToPool: r.URL.Query().Get("to")}}
	default:
		writeProblem(w, http.StatusNotFound, "a host's action must be drain, move, return or release")
		return
	}
	s.submitRecord(w, r, record)
}

func (s *Server) dataCentre(w http.ResponseWriter, r *http.Request) {
	halt := &wire.Halt{DataCentre: r.PathValue("name")}
	switch r.PathValue("action") {
	case "halt":
		halt.Halted = true
	case "resume":
	default:
		writeProblem(w, http.StatusNotFound, "a data centre's action must be halt or resume")
		return
	}
	s.submitRecord(w, r, &wire.Record{Body: &wire.Record_Halt{Halt: halt}})
}

// restore submits the record with which an operator accepts an empty state, because no
// entry host has kept a configuration.
func (s *Server) restore(w http.ResponseWriter, r *http.Request) {
	if r.PathValue("action") != "empty" {
		writeProblem(w, http.StatusNotFound, "the only restore action is empty")
		return
	}
	s.submitRecord(w, r, &wire.Record{Body: &wire.Record_Close{Close: &wire.Close{AcceptEmpty: true}}})
}

// submitRecord submits a record, or only tries it if the request is a dry run, and
// answers with the outcome of the fold.
func (s *Server) submitRecord(w http.ResponseWriter, r *http.Request, record *wire.Record) {
	record.Reason = r.URL.Query().Get("reason")
	dryRun := r.URL.Query().Get("dry-run") == "true"
	ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
	defer cancel()
	var outcome state.Outcome
	var err error
	if dryRun {
		outcome, err = s.handler.DryRun(record)
	} else {
		outcome, err = s.handler.Submit(ctx, record)
	}
	if err != nil {
		e := verdict.FromError(err)
		writeJSON(w, e.Cause.Status(), operatorapi.Problem{Error: e.Message, Verdict: string(e.Verdict)})
		return
	}
	status := http.StatusOK
	if !outcome.Accepted {
		status = http.StatusConflict
	}
	writeJSON(w, status, operatorapi.Outcome{
		Accepted: outcome.Accepted, DryRun: dryRun, Record: record.GetId(),
		Offset: outcome.Offset, Version: outcome.Version, Message: outcome.Message,
	})
}

func (s *Server) config(w http.ResponseWriter, r *http.Request) {
	wanted := uint64(0)
	if text := r.URL.Query().Get("version"); text != "" {
		parsed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			writeProblem(w, http.StatusBadRequest, "version must be a number")
			return
		}
		wanted = parsed
	}
	document, version, ok := s.handler.Config(wanted)
	if !ok {
		writeProblem(w, http.StatusNotFound, "this entry host no longer has that version; ask another entry host, or look in version control")
		return
	}
	w.Header().Set("Hornbeammast-Version", strconv.FormatUint(version, 10))
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(document)
}

func (s *Server) record(w http.ResponseWriter, r *http.Request) {
	outcome, ok := s.handler.Record(r.PathValue("id"))
	if !ok {
		writeProblem(w, http.StatusNotFound, "this entry host keeps no outcome of a record with that id")
		return
	}
	writeJSON(w, http.StatusOK, operatorapi.Outcome{
		Accepted: outcome.Accepted, Record: r.PathValue("id"), Offset: outcome.Offset, Version: outcome.Version, Message: outcome.Message,
	})
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.handler.Status())
}

func (s *Server) plan(w http.ResponseWriter, r *http.Request) {
	weeks, _ := strconv.Atoi(r.URL.Query().Get("weeks"))
	writeJSON(w, http.StatusOK, s.handler.Plan(weeks))
}

func (s *Server) dump(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.handler.Dump())
}

func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, s.handler.Metrics())
}

func writeProblem(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, operatorapi.Problem{Error: message})
}

func writeJSON(w http.ResponseWriter, status int, message any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(message)
}
