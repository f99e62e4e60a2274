package wire

import (
	"bytes"
	"reflect"
	"testing"
)

// Guards against panics and unbounded reads on malformed messages between hosts, and against messages that change when
// they are passed on.
func FuzzMessages(f *testing.F) {
	messages := []any{&StatementRequest{}, &StatementReply{}, &BlockStatementRequest{}, &TxRequest{}, &RenewReply{}, &Registration{}, &Announce{}}
	for i, m := range messages {
		var b bytes.Buffer
		if err := Write(&b, m); err != nil {
			f.Fatal(err)
		}
		f.Add(uint8(i), b.Bytes())
	}
	f.Fuzz(func(t *testing.T, kind uint8, data []byte) {
		fresh := func() any { return reflect.New(reflect.TypeOf(messages[int(kind)%len(messages)]).Elem()).Interface() }
		m := fresh()
		if err := Read(bytes.NewReader(data), m, MaxMessageBytes); err != nil {
			return
		}
		first, err := MarshalDeterministic(m)
		if err != nil {
			return
		}
		again := fresh()
		if err := Unmarshal(first, again); err != nil {
			t.Fatalf("%T can't be decoded again: %v", m, err)
		}
		second, err := MarshalDeterministic(again)
		if err != nil || !bytes.Equal(first, second) {
			t.Fatalf("%T changes from %x to %x, err %v", m, first, second, err)
		}
	})
}
