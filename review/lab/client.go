package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// sent is one request that a client sent.
type sent struct {
	id     string
	at     time.Time
	ended  time.Time
	status int // 0 if there was no answer
	// wrong says what is wrong with a success; it is empty if nothing is.
	wrong string
}

// clients are the clients of one machine. They send requests at a rate, whether earlier
// ones were answered or not.
type clients struct {
	cluster *cluster
	machine *machine
	name    string
	method  string
	path    string
	body    []byte
	timeout time.Duration
	rate    float64
	// same makes all requests ask for the same path.
	same bool
	// steady makes the pauses between requests equal.
	steady bool

	mu   sync.Mutex
	sent []*sent
	wg   sync.WaitGroup
}

// run sends requests until ctx ends, and waits for the answers.
func (c *clients) run(ctx context.Context) {
	transport := &http.Transport{MaxIdleConnsPerHost: 200, IdleConnTimeout: 12 * time.Second, DisableCompression: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	next := time.Now()
	for n := 0; ctx.Err() == nil; n++ {
		pause := rand.ExpFloat64()
		if c.steady {
			pause = 1
		}
		next = next.Add(time.Duration(pause / c.rate * float64(time.Second)))
		time.Sleep(time.Until(next))
		c.wg.Go(func() { c.send(client, fmt.Sprintf("%s-%d", c.name, n)) })
	}
	c.wg.Wait()
}

func (c *clients) send(client *http.Client, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
	defer cancel()
	path := c.path
	if !c.same {
		path += id
	}
	r, _ := http.NewRequestWithContext(ctx, c.method, "http://"+c.cluster.address(c.machine, portOutbound)+path, bytes.NewReader(c.body))
	r.Host = host
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(c.timeout.Milliseconds(), 10))
	r.Header.Set("X-Api-Key", key)
	s := &sent{id: id, at: time.Now()}
	c.mu.Lock()
	c.sent = append(c.sent, s)
	c.mu.Unlock()
	resp, err := client.Do(r)
	status, wrong := 0, ""
	if err == nil {
		var text []byte
		text, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			status = resp.StatusCode
		}
		if status/100 == 2 {
			wrong = checkSuccess(resp.Header, text, id, len(c.body))
		}
	}
	c.mu.Lock()
	s.ended, s.status, s.wrong = time.Now(), status, wrong
	c.mu.Unlock()
	c.cluster.record.line(s.at, "request %s sent, answered %d after %d ms", id, status, s.ended.Sub(s.at).Milliseconds())
}

// checkSuccess returns what is wrong with a success.
func checkSuccess(h http.Header, text []byte, id string, length int) string {
	server, ok := strings.CutSuffix(h.Get("Server-Stamp"), "."+id)
	if !ok {
		return fmt.Sprintf("the stamp is %q", h.Get("Server-Stamp"))
	}
	if want := answerText(server, id, length); string(text) != want {
		return fmt.Sprintf("the body has %d bytes and begins with %.60q", len(text), text)
	}
	return ""
}

// answerText is the body of the answer of a server.
func answerText(server, id string, length int) string {
	return fmt.Sprintf("%s ran %s (%d bytes)\n", server, id, length)
}
