package rpc

import "github.com/sourcegraph/jsonrpc2"

// measuredStream passes the messages of the client end of a link to a MessageFunc.
type measuredStream struct {
	jsonrpc2.ObjectStream
	codec   *frameCodec
	address string
	sent    MessageFunc
	// method and params are those of the request that is being sent. The connection
	// sends one message at a time, and calls onSend right before it.
	method string
	params []byte
}

func (m *measuredStream) onSend(request *jsonrpc2.Request, _ *jsonrpc2.Response) {
	m.method, m.params = "", nil
	if request == nil {
		return
	}
	m.method = request.Method
	if request.Params != nil {
		m.params = *request.Params
	}
}

// WriteObject implements jsonrpc2.ObjectStream.
func (m *measuredStream) WriteObject(v any) error {
	err := m.ObjectStream.WriteObject(v)
	m.sent(m.address, m.method, m.params, m.codec.written)
	return err
}

// onReceive is called by the goroutine that has just read the message.
func (m *measuredStream) onReceive(request *jsonrpc2.Request, response *jsonrpc2.Response) {
	method, result := "", []byte(nil)
	if request != nil {
		method = request.Method
	}
	if response != nil && response.Result != nil {
		result = *response.Result
	}
	m.sent(m.address, method, result, m.codec.read)
}
