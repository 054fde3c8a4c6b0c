package connectiontest

import "strings"

// BrokenMarker stands in BrokenResponses.
const BrokenMarker = "Garbled"

// BrokenResponses are bytes that are no complete response. Each holds BrokenMarker where a part
// of it could be passed on.
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
	"space in a name":              "HTTP/1.1 200 OK\r\nGarbled Name: 1\r\nContent-Length: 7\r\n\r\nGarbled",
	"space after a name":           "HTTP/1.1 200 OK\r\nGarbled : 1\r\nContent-Length: 7\r\n\r\nGarbled",
	"space after the length":       "HTTP/1.1 200 OK\r\nContent-Length : 7\r\n\r\nGarbled, and more",
	"space after the coding":       "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n7\r\nGarbled\r\n0\r\n\r\n",
	"space before a name":          "HTTP/1.1 200 OK\r\nFirst: 1\r\n Garbled: 1\r\nContent-Length: 7\r\n\r\nGarbled",
	"space before the first name":  "HTTP/1.1 200 OK\r\n Garbled: 1\r\nContent-Length: 7\r\n\r\nGarbled",
	"line of a space":              "HTTP/1.1 200 OK\r\nFirst: 1\r\n \r\nGarbled: 1\r\nContent-Length: 7\r\n\r\nGarbled",
	"tab in a name":                "HTTP/1.1 200 OK\r\nGarbled\tName: 1\r\nContent-Length: 7\r\n\r\nGarbled",
	"tab before a name":            "HTTP/1.1 200 OK\r\nFirst: 1\r\n\tGarbled: 1\r\nContent-Length: 7\r\n\r\nGarbled",
	"control byte in a name":       "HTTP/1.1 200 OK\r\nGarbled\x01Name: 1\r\nContent-Length: 7\r\n\r\nGarbled",
	"zero byte after the length":   "HTTP/1.1 200 OK\r\nContent-Length\x00: 7\r\n\r\nGarbled, and more",
	"carriage return in a name":    "HTTP/1.1 200 OK\r\nGarbled\rName: 1\r\nContent-Length: 7\r\n\r\nGarbled",
	"DEL in a name":                "HTTP/1.1 200 OK\r\nGarbled\x7fName: 1\r\nContent-Length: 7\r\n\r\nGarbled",
	"empty name":                   "HTTP/1.1 200 OK\r\n: Garbled\r\nContent-Length: 7\r\n\r\nGarbled",
	"no colon":                     "HTTP/1.1 200 OK\r\nGarbled\r\nContent-Length: 7\r\n\r\nGarbled",
	"space in a name of a 1xx":     "HTTP/1.1 103 Early Hints\r\nGarbled Name: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nGarbled",
	"closed before the length":     "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nGarbled",
	"closed between chunks":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nGarbled\r\n",
	"closed before the last line":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nGarbled\r\n0\r\n",
	"no protocol version":          "Garbled 200 OK\r\nContent-Length: 7\r\n\r\nGarbled",
	"length of letters":            "HTTP/1.1 200 OK\r\nContent-Length: Garbled\r\n\r\nGarbled",
	"two lengths":                  "HTTP/1.1 200 OK\r\nContent-Length: 7\r\nContent-Length: 8, Garbled\r\n\r\nGarbled",
	"unknown coding":               "HTTP/1.1 200 OK\r\nTransfer-Encoding: Garbled\r\n\r\nGarbled",
	"control byte in a value":      "HTTP/1.1 200 OK\r\nA: Garbled\x01\r\nContent-Length: 7\r\n\r\nGarbled",
	"half a line":                  "HTTP/1.1 200 OK\r\nGarbled",
	"chunk size of letters":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nGarbled\r\nGarbled\r\n0\r\n\r\n",
	"chunk longer than its size":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nGarbled\r\n0\r\n\r\n",
	"trailer without a colon":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nGarbled\r\n0\r\nGarbled\r\n\r\n",
	"space before the coding":      "HTTP/1.1 200 OK\r\nContent-Type: a\r\n Transfer-Encoding: chunked\r\nContent-Length: 7\r\n\r\nGarbled",
}
