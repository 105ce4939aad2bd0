package peer

import (
	"bytes"
	"encoding/hex"
	"strings"
	"testing"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/prototext"
	"google.golang.org/protobuf/proto"

	"github.com/glentiller/glentiller/internal/golden"
	"github.com/glentiller/glentiller/internal/peer/peerpb"
)

func fillMessage[M any](m *M) *M {
	golden.Fill(m)
	return m
}

// The golden files hold every message type with all fields set, both as text and as the encoded bytes. The encoding
// contains field numbers instead of names, so a renumbered field would make controllers of different versions
// misread each other.
func TestMessagesBetweenControllersKeepTheirBytes(t *testing.T) {
	for name, e := range map[string]*peerpb.Envelope{
		"relay":        {Id: 300, Body: &peerpb.Envelope_Relay{Relay: fillMessage(&peerpb.Relay{})}},
		"relay-answer": {Id: 300, Body: &peerpb.Envelope_RelayAnswer{RelayAnswer: fillMessage(&peerpb.RelayAnswer{})}},
		"progress":     {Id: 300, Body: &peerpb.Envelope_Progress{Progress: fillMessage(&peerpb.Progress{})}},
		"ask":          {Id: 300, Body: &peerpb.Envelope_Ask{Ask: fillMessage(&peerpb.Ask{})}},
		"ask-answer":   {Id: 300, Body: &peerpb.Envelope_AskAnswer{AskAnswer: fillMessage(&peerpb.AskAnswer{})}},
		"promise-ask":  {Id: 300, Body: &peerpb.Envelope_PromiseAsk{PromiseAsk: fillMessage(&peerpb.PromiseAsk{})}},
		"promise-answer": {Id: 300,
			Body: &peerpb.Envelope_PromiseAnswer{PromiseAnswer: fillMessage(&peerpb.PromiseAnswer{})}},
		"hand":        {Id: 300, Body: &peerpb.Envelope_Hand{Hand: fillMessage(&peerpb.Hand{})}},
		"hand-answer": {Id: 300, Body: &peerpb.Envelope_HandAnswer{HandAnswer: fillMessage(&peerpb.HandAnswer{})}},
		"empty":       {},
	} {
		t.Run(name, func(t *testing.T) {
			var sent bytes.Buffer
			if _, err := protodelim.MarshalTo(&sent, e); err != nil {
				t.Fatal(err)
			}
			// prototext varies its whitespace between builds on purpose.
			text := strings.Join(strings.Fields(prototext.MarshalOptions{}.Format(e)), " ")
			stored := golden.Check(t, name+".txt", []byte(text+"\n"+hex.EncodeToString(sent.Bytes())+"\n"))
			_, digits, _ := strings.Cut(strings.TrimSuffix(string(stored), "\n"), "\n")
			b, err := hex.DecodeString(digits)
			if err != nil {
				t.Fatal(err)
			}
			got := &peerpb.Envelope{}
			if err := protodelim.UnmarshalFrom(bytes.NewReader(b), got); err != nil {
				t.Fatal(err)
			}
			if !proto.Equal(got, e) {
				t.Errorf("read back as %v, want %v", got, e)
			}
		})
	}
}

// Guards against a field of a newer version that makes members misread the progress of a leader of an older one.
func TestProgressOfOlderVersionIsUnderstood(t *testing.T) {
	const older = "1f08ac02221a0802120c0a06746578742036100718081a067465787420392001"
	encoded, err := hex.DecodeString(older)
	if err != nil {
		t.Fatal(err)
	}
	got := &peerpb.Envelope{}
	if err := protodelim.UnmarshalFrom(bytes.NewReader(encoded), got); err != nil {
		t.Fatal(err)
	}
	want := fillMessage(&peerpb.Progress{})
	want.MemoryShort = false
	if !proto.Equal(got.GetProgress(), want) {
		t.Errorf("got %v, want %v", got.GetProgress(), want)
	}
}
