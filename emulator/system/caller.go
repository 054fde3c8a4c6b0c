package system

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	callTimeout    = 15 * time.Second
	headerOutcome  = "Teaselrack-Outcome"
	headerRequest  = "Teaselrack-Request"
	headerReplayed = "Teaselrack-Replayed"
	headerOnceKey  = "Idempotency-Key"
)

// Call is one request of a caller.
type Call struct {
	// Ingress is the daemon that the caller is connected to.
	Ingress string
	Method  string
	Path    string
	// Key is the secret, sent as bearer token; empty sends none.
	Key     string
	OnceKey string
	Body    string
	// Single keeps the client from sending the request again by itself.
	Single bool
}

// Answer is what a caller saw.
type Answer struct {
	Status   int
	Outcome  string
	Request  string
	Replayed bool
	// Kind is the error kind of a refusal.
	Kind   string
	Body   []byte
	Target TargetAnswer
}

// Caller sends requests over connections that it keeps open.
type Caller struct {
	client *http.Client
}

// NewCaller returns a caller without connections.
func NewCaller() *Caller {
	return &Caller{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: callTimeout}}
}

// Close closes the idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Do sends one request and reads the whole answer.
func (c *Caller) Do(call Call) (Answer, error) {
	req, err := http.NewRequest(call.Method, "http://"+call.Ingress+call.Path, strings.NewReader(call.Body))
	if err != nil {
		return Answer{}, err
	}
	if call.Key != "" {
		req.Header.Set("Authorization", "Bearer "+call.Key)
	}
	if call.OnceKey != "" {
		req.Header.Set(headerOnceKey, call.OnceKey)
	}
	if call.Single {
		req.GetBody = nil
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Answer{}, err
	}
	answer := Answer{
		Status:   resp.StatusCode,
		Outcome:  resp.Header.Get(headerOutcome),
		Request:  resp.Header.Get(headerRequest),
		Replayed: resp.Header.Get(headerReplayed) != "",
		Body:     body,
	}
	var refusal struct {
		Kind string `json:"kind"`
	}
	_ = json.Unmarshal(body, &refusal)
	answer.Kind = refusal.Kind
	_ = json.Unmarshal(body, &answer.Target)
	return answer, nil
}

// String describes the answer for reports.
func (a Answer) String() string {
	return fmt.Sprintf("%d %s %s %s", a.Status, a.Outcome, a.Kind, bytes.TrimSpace(a.Body))
}

// Records reads what the stand-in target beside i has run.
func (i Instance) Records() ([]Record, error) {
	var records []Record
	return records, i.admin("/records", &records)
}

// Stats reads the counters of the stand-in target beside i.
func (i Instance) Stats() (Stats, error) {
	var stats Stats
	return stats, i.admin("/stats", &stats)
}

func (i Instance) admin(path string, into any) error {
	resp, err := adminClient.Get("http://" + i.Admin + path)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(into)
}

// Behave sets the behaviour of the stand-in target beside i.
func (i Instance) Behave(behaviour Behaviour) error {
	body, err := json.Marshal(behaviour)
	if err != nil {
		return err
	}
	return i.put("/behaviour", body)
}

// AnnounceState sets the state that the stand-in target beside i announces.
func (i Instance) AnnounceState(state string) error { return i.put("/state/"+state, nil) }

func (i Instance) put(path string, body []byte) error {
	req, err := http.NewRequest(http.MethodPut, "http://"+i.Admin+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := adminClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("the stand-in %s answered %s", i.Name, resp.Status)
	}
	return nil
}

var adminClient = &http.Client{Timeout: callTimeout}
