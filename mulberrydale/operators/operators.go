// Package operators implements the HTTP API for operators, which each VM serves at
// its operators' address: the configuration, changes to it, the status of the VM,
// the audit trail and the metrics.
package operators

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mulberrydale/mulberrydale/core/connection/intake"
	"github.com/mulberrydale/mulberrydale/core/connection/operator"
	"github.com/mulberrydale/mulberrydale/core/process/audit"
	"github.com/mulberrydale/mulberrydale/core/process/replica"
	"github.com/mulberrydale/mulberrydale/core/result"
	"github.com/mulberrydale/mulberrydale/core/version/configuration"
)

// changeTimeout limits how long a change may take. After a timeout the operator
// sends the change again with the same id, so that it is not made twice.
const changeTimeout = 5 * time.Second

// Host is the server process that executes changes and provides the data of the API.
type Host interface {
	// Submit commits a command to the replicated log and returns its outcome. The
	// error is NoQuorum if it is not committed before ctx ends.
	Submit(ctx context.Context, command replica.Command) (replica.Outcome, error)
	// Configuration returns the version and text of the current configuration. The
	// version is 0 before the first one.
	Configuration() (version uint64, document []byte)
	// Status returns the state of the VM and what it knows of its peers and targets.
	Status(now time.Time) operator.Status
	// Audit returns the audit trail, oldest record first. The error is NotAllowed on
	// a VM that is no control VM.
	Audit() (records []audit.Record, err error)
}

// server holds the handlers of the API.
type server struct {
	host Host
}

// Handler returns the handler of the operators' API. The given metrics handler
// serves /metrics.
func Handler(host Host, metrics http.Handler) http.Handler {
	s := &server{host: host}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+operator.PathConfiguration, s.configuration)
	mux.HandleFunc("POST "+operator.PathChanges, s.change)
	mux.HandleFunc("GET "+operator.PathStatus, s.status)
	mux.HandleFunc("GET "+operator.PathAudit, s.audit)
	mux.Handle("GET /metrics", metrics)
	mux.HandleFunc("/", s.notFound)
	return mux
}

func (s *server) configuration(w http.ResponseWriter, _ *http.Request) {
	version, text := s.host.Configuration()
	w.Header().Set(operator.HeaderVersion, strconv.FormatUint(version, 10))
	_, _ = w.Write(text)
}

func (s *server) status(w http.ResponseWriter, _ *http.Request) {
	text, err := operator.EncodeStatus(s.host.Status(time.Now()))
	writeJSON(w, text, err)
}

func (s *server) audit(w http.ResponseWriter, _ *http.Request) {
	records, err := s.host.Audit()
	if err != nil {
		writeError(w, http.StatusNotFound, err)
		return
	}
	text, err := operator.EncodeAudit(records)
	writeJSON(w, text, err)
}

func (s *server) change(w http.ResponseWriter, r *http.Request) {
	body, charge, err := intake.ReadBody(r, operator.MaxChangeBytes)
	if errors.Is(err, intake.ErrNoMemory) {
		w.Header().Set("Connection", "close")
		writeError(w, http.StatusServiceUnavailable, result.Wrap(err, result.OverCapacity, "read the body of the change"))
		return
	}
	defer charge.Release()
	if err != nil {
		writeError(w, http.StatusBadRequest, result.Wrap(err, result.DocumentTooLarge, "read the body of the change"))
		return
	}
	change, err := operator.DecodeChange(body)
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	command, err := newCommand(change)
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	outcome, err := s.host.Submit(ctx, command)
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, err)
		return
	}
	changeOutcome, ok := outcome.(replica.ChangeOutcome)
	if !ok {
		writeError(w, http.StatusInternalServerError, result.New(result.Internal, "the replicated log returned no outcome for the change"))
		return
	}
	response, err := operator.EncodeOutcome(operator.NewOutcome(changeOutcome.Code(), changeOutcome.Version(), changeOutcome.Message()))
	writeJSON(w, response, err)
}

// newCommand converts a change into a command for the replicated log. It checks
// the document of a new configuration, so that an invalid one is never committed;
// the error is then that of configuration.Decode. The command has no time yet: the
// leader sets it when it appends the command to the log.
func newCommand(change operator.Change) (replica.Command, error) {
	metadata := replica.NewChangeMetadata(change.ID(), change.BaseVersion(), change.Author(), change.Reason(), time.Time{})
	if centre, inService := change.DataCentre(); centre != "" {
		return replica.NewSetDataCentre(metadata, centre, inService), nil
	}
	if _, err := configuration.Decode([]byte(change.Document())); err != nil {
		return nil, err
	}
	return replica.NewReplaceConfiguration(metadata, []byte(change.Document())), nil
}

func (s *server) notFound(w http.ResponseWriter, r *http.Request) {
	writeError(w, http.StatusNotFound, result.New(result.NotAllowed, "%s %s is not an endpoint of the operators' API", r.Method, r.URL.Path))
}

// writeJSON writes text as a response with status 200. err is the error of encoding
// text; if it is not nil, writeJSON writes that error with status 500 instead.
func writeJSON(w http.ResponseWriter, text []byte, err error) {
	if err != nil {
		writeError(w, http.StatusInternalServerError, result.Wrap(err, result.Internal, "encode the response"))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text)
}

// writeError writes err as an encoded outcome with its result code and version 0, or
// as plain text if the outcome can't be encoded.
func writeError(w http.ResponseWriter, status int, err error) {
	text, encodeErr := operator.EncodeOutcome(operator.NewOutcome(result.CodeOf(err), 0, err.Error()))
	if encodeErr != nil {
		http.Error(w, err.Error(), status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}
