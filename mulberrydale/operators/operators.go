// Package operators serves the operators' address of a VM: configuration,
// changes, status, audit trail and metrics.
package operators

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/mulberrydale/mulberrydale/core/connection/operator"
	"github.com/mulberrydale/mulberrydale/core/process/audit"
	"github.com/mulberrydale/mulberrydale/core/process/replica"
	"github.com/mulberrydale/mulberrydale/core/result"
	"github.com/mulberrydale/mulberrydale/core/version/configuration"
)

// changeTimeout bounds one change; the operator sends it again with its id.
const changeTimeout = 5 * time.Second

// Host is the process whose address is served.
type Host interface {
	Submit(ctx context.Context, command replica.Command) (replica.Outcome, error)
	Configuration() (version uint64, document []byte)
	Status(now time.Time) operator.Status
	Audit() (records []audit.Record, err error)
}

// server serves one host.
type server struct {
	host Host
}

// Handler returns the operators' interface. The metrics are served by the
// given handler at /metrics.
func Handler(host Host, metrics http.Handler) http.Handler {
	s := &server{host: host}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+operator.PathConfiguration, s.configuration)
	mux.HandleFunc("POST "+operator.PathChanges, s.change)
	mux.HandleFunc("GET "+operator.PathStatus, s.status)
	mux.HandleFunc("GET "+operator.PathAudit, s.audit)
	mux.Handle("GET /metrics", metrics)
	mux.HandleFunc("/", s.other)
	return mux
}

func (s *server) configuration(w http.ResponseWriter, _ *http.Request) {
	version, text := s.host.Configuration()
	w.Header().Set(operator.HeaderVersion, strconv.FormatUint(version, 10))
	_, _ = w.Write(text)
}

func (s *server) status(w http.ResponseWriter, _ *http.Request) {
	text, err := operator.EncodeStatus(s.host.Status(time.Now()))
	give(w, text, err)
}

func (s *server) audit(w http.ResponseWriter, _ *http.Request) {
	records, err := s.host.Audit()
	if err != nil {
		refuse(w, http.StatusNotFound, err)
		return
	}
	text, err := operator.EncodeAudit(records)
	give(w, text, err)
}

func (s *server) change(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, operator.MaxChangeBytes))
	if err != nil {
		refuse(w, http.StatusBadRequest, result.Wrap(err, result.DocumentTooLarge, "reading the change"))
		return
	}
	change, err := operator.DecodeChange(text)
	if err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	command, err := commandOf(change)
	if err != nil {
		refuse(w, http.StatusBadRequest, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	outcome, err := s.host.Submit(ctx, command)
	if err != nil {
		refuse(w, http.StatusServiceUnavailable, err)
		return
	}
	changed, ok := outcome.(replica.ChangeOutcome)
	if !ok {
		refuse(w, http.StatusInternalServerError, result.New(result.Internal, "the log gave no outcome of a change"))
		return
	}
	answer, err := operator.EncodeOutcome(operator.NewOutcome(changed.Code(), changed.Version(), changed.Message()))
	give(w, answer, err)
}

// commandOf checks a document here, so that a faulty one never enters the log.
func commandOf(c operator.Change) (replica.Command, error) {
	stamp := replica.NewStamp(c.ID(), c.BaseVersion(), c.Author(), c.Reason(), time.Time{})
	if centre, inService := c.DataCentre(); centre != "" {
		return replica.NewSetDataCentre(stamp, centre, inService), nil
	}
	if _, err := configuration.Decode([]byte(c.Document())); err != nil {
		return nil, err
	}
	return replica.NewReplace(stamp, []byte(c.Document())), nil
}

func (s *server) other(w http.ResponseWriter, r *http.Request) {
	refuse(w, http.StatusNotFound, result.New(result.NotAllowed, "%s %s is not served here", r.Method, r.URL.Path))
}

func give(w http.ResponseWriter, text []byte, err error) {
	if err != nil {
		refuse(w, http.StatusInternalServerError, result.Wrap(err, result.Internal, "writing the answer"))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text)
}

func refuse(w http.ResponseWriter, status int, err error) {
	text, encodeErr := operator.EncodeOutcome(operator.NewOutcome(result.CodeOf(err), 0, err.Error()))
	if encodeErr != nil {
		http.Error(w, err.Error(), status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}
