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
	requestTimeout = 15 * time.Second
	headerOutcome  = "Teaselrack-Outcome"
	headerRequest  = "Teaselrack-Request"
	headerReplayed = "Teaselrack-Replayed"
	headerOnceKey  = "Idempotency-Key"
)

// Request is one HTTP request of a client. Path may contain a query.
type Request struct {
	// Ingress is the ingress address of the daemon that the client connects to.
	Ingress string
	Method  string
	Path    string
	// Key is the secret of an API key, sent as bearer token. If it is empty, no
	// Authorization header is sent.
	Key string
	// OnceKey is the Idempotency-Key of a once request. If it is empty, the header is
	// not sent.
	OnceKey string
	Body    string
	// NoRetry keeps net/http from resending the request when a reused connection
	// turns out to be closed. It has an effect only on a request with a body.
	NoRetry bool
}

// Response is the response to a Request, as the client received it.
type Response struct {
	Status  int
	Outcome string
	// Request is the request ID.
	Request string
	// Replayed is true if the response is the stored response of an earlier once
	// request.
	Replayed bool
	// Kind is the error kind of a rejected or failed request.
	Kind string
	Body []byte
	// Target is the decoded body, if it is the response of a stand-in target.
	Target TargetResponse
}

// Client sends requests over keep-alive connections.
type Client struct {
	client *http.Client
}

// NewClient returns a client that has no open connections yet.
func NewClient() *Client {
	return &Client{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: requestTimeout}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.client.CloseIdleConnections() }

// Do sends one request and reads the complete response. It returns an error if
// there is no complete response within requestTimeout. A response with an error
// status is not an error.
func (c *Client) Do(request Request) (Response, error) {
	req, err := http.NewRequest(request.Method, "http://"+request.Ingress+request.Path, strings.NewReader(request.Body))
	if err != nil {
		return Response{}, err
	}
	if request.Key != "" {
		req.Header.Set("Authorization", "Bearer "+request.Key)
	}
	if request.OnceKey != "" {
		req.Header.Set(headerOnceKey, request.OnceKey)
	}
	if request.NoRetry {
		req.GetBody = nil
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return Response{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Response{}, err
	}
	response := Response{
		Status:   resp.StatusCode,
		Outcome:  resp.Header.Get(headerOutcome),
		Request:  resp.Header.Get(headerRequest),
		Replayed: resp.Header.Get(headerReplayed) != "",
		Body:     body,
	}
	var rejection struct {
		Kind string `json:"kind"`
	}
	_ = json.Unmarshal(body, &rejection)
	response.Kind = rejection.Kind
	_ = json.Unmarshal(body, &response.Target)
	return response, nil
}

// String returns the status, the outcome, the error kind and the body. It is meant
// for error messages.
func (r Response) String() string {
	return fmt.Sprintf("%d %s %s %s", r.Status, r.Outcome, r.Kind, bytes.TrimSpace(r.Body))
}

// Records returns the requests that the instance's stand-in target has run.
func (i Instance) Records() ([]Record, error) {
	var records []Record
	return records, i.adminGet("/records", &records)
}

// Stats returns the counters of the instance's stand-in target.
func (i Instance) Stats() (Stats, error) {
	var stats Stats
	return stats, i.adminGet("/stats", &stats)
}

func (i Instance) adminGet(path string, result any) error {
	resp, err := adminClient.Get("http://" + i.Admin + path)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(result)
}

// SetBehaviour sets how the instance's stand-in target treats subsequent requests.
func (i Instance) SetBehaviour(behaviour Behaviour) error {
	body, err := json.Marshal(behaviour)
	if err != nil {
		return err
	}
	return i.adminPut("/behaviour", body)
}

// AnnounceState sets the state that the instance's stand-in target announces.
func (i Instance) AnnounceState(state string) error { return i.adminPut("/state/"+state, nil) }

func (i Instance) adminPut(path string, body []byte) error {
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
		return fmt.Errorf("stand-in target of %s responded with status %s", i.Name, resp.Status)
	}
	return nil
}

var adminClient = &http.Client{Timeout: requestTimeout}
