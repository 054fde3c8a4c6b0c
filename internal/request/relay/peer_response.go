package relay

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/shedding"
)

const (
	// maxLevelEnd is the longest time for which the level of a cold target applies
	// without being reported again.
	maxLevelEnd = 30 * time.Second
	// maxCalledLoad is the highest load of called services that a daemon reports.
	maxCalledLoad = 100
)

// readLoadHeaders reads the headers in which a daemon reports its target's
// load, and records the shedding level. If no level is reported, nothing is to
// be shed. load is -1 and retryAfter is 0 if the daemon reports none.
func (e *EntryHandler) readLoadHeaders(route string, h http.Header) (load float64, bottleneck shedding.Bottleneck, retryAfter time.Duration) {
	bottleneck, err := readBottleneck(h)
	if err != nil {
		e.Log.Warn("malformed shedding level in a response", zap.String("route", route), zap.Error(err))
	}
	e.Levels.Observe(time.Now(), route, bottleneck)
	load, err = strconv.ParseFloat(h.Get(headerLoad), 64)
	if err != nil {
		load = -1
	}
	us, err := strconv.ParseInt(h.Get(headerRetryAfter), 10, 64)
	if err != nil {
		us = 0
	}
	return load, bottleneck, time.Duration(us) * time.Microsecond
}

// readBottleneck returns the bottleneck that a daemon reports, or the zero value if it
// reports none.
func readBottleneck(h http.Header) (shedding.Bottleneck, error) {
	text := h.Get(headerShedLevel)
	if text == "" {
		return shedding.Bottleneck{}, nil
	}
	bottleneck, err := shedding.ParseBottleneck(text)
	if err != nil {
		return shedding.Bottleneck{}, err
	}
	if ends := h.Get(headerShedLevelEnds); ends != "" {
		ms, err := strconv.ParseUint(ends, 10, 31)
		if err != nil {
			return shedding.Bottleneck{}, fmt.Errorf("malformed end %q of a shedding level", ends)
		}
		bottleneck.EndsIn = min(time.Duration(ms)*time.Millisecond, maxLevelEnd)
	}
	return bottleneck, nil
}

// readCalledLoad returns the load of called services that a daemon reports, or 0 if it
// reports none.
func readCalledLoad(h http.Header) (float64, error) {
	text := h.Get(headerCalledLoad)
	if text == "" {
		return 0, nil
	}
	load, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(load) || load < 0 || load > maxCalledLoad {
		return 0, fmt.Errorf("malformed load %q of called services", text)
	}
	return load, nil
}

// loadReportBytes returns the size of the headers that report load and shedding.
func loadReportBytes(h http.Header) int {
	size := 0
	for _, name := range []string{headerLoad, headerShedLevel, headerShedLevelEnds, headerCalledLoad} {
		for _, value := range h[name] {
			size += len(name) + len(": ") + len(value) + len("\r\n")
		}
	}
	return size
}

// readPeerError returns the error that another daemon responded with.
func readPeerError(resp *http.Response, kind fault.Kind, retryAfter time.Duration) error {
	body, err := bufferBody(resp.Body, resp.ContentLength, nil)
	_ = resp.Body.Close()
	text := string(body.prefix)
	if err != nil {
		text = "rejected by the target's daemon"
	}
	return withRetryAfter(fault.New(kind, "%s", trimNewlines(text)), retryAfter)
}

func trimNewlines(s string) string {
	for len(s) > 0 && s[len(s)-1] == '\n' {
		s = s[:len(s)-1]
	}
	return s
}
