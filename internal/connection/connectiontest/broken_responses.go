package connectiontest

import "strings"

// BrokenMarker stands in BrokenResponses.
const BrokenMarker = "Garbled"

// BrokenResponses are bytes that are no response, because of a status in a head.
// Each holds BrokenMarker where a part of it could be passed on.
var BrokenResponses = map[string]string{
	"status 000":                   "HTTP/1.1 000 Garbled\r\nContent-Length: 7\r\n\r\nGarbled",
	"status 000, long body":        "HTTP/1.1 000 Garbled\r\nContent-Length: 700000\r\n\r\n" + strings.Repeat("Garbled", 100000),
	"status 099":                   "HTTP/1.1 099 Garbled\r\nContent-Length: 7\r\n\r\nGarbled",
	"status +99":                   "HTTP/1.1 +99 Garbled\r\nContent-Length: 7\r\n\r\nGarbled",
	"status -00":                   "HTTP/1.1 -00 Garbled\r\nContent-Length: 7\r\n\r\nGarbled",
	"status of four digits":        "HTTP/1.1 2000 Garbled\r\nContent-Length: 7\r\n\r\nGarbled",
	"status of letters":            "HTTP/1.1 Garbled\r\nContent-Length: 7\r\n\r\nGarbled",
	"status 000 before a response": "HTTP/1.1 000 Garbled\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nGarbled",
	"status 099 before a response": "HTTP/1.1 099 Garbled\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nGarbled",
	"status 000 after a 1xx":       "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 Garbled\r\nContent-Length: 7\r\n\r\nGarbled",
	"status 000 and nothing":       "HTTP/1.1 000 Garbled\r\n\r\n",
}
