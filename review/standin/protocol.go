package main

import (
	"embed"
	"encoding/json"
	"net/http"
)

// protocolNames are the names of the platform's protocol that the stand-ins use. They stand in
// protocol.json, and the configurations of the cases in config/, so that they don't spread over
// the code.
type protocolNames struct {
	RequestID       string `json:"request_id"`
	LastEvent       string `json:"last_event"`
	ExpectedReplica string `json:"expected_replica"`
	NotExecuted     string `json:"not_executed"`
	Load            string `json:"load"`
	Signature       string `json:"signature"`
	ReportPath      string `json:"report_path"`
	HoldPath        string `json:"hold_path"`
	ReadyPath       string `json:"ready_path"`
}

//go:embed protocol.json
var protocolFile []byte

//go:embed config/*.json
var configFiles embed.FS

// wire holds the names.
var wire = func() (n protocolNames) {
	if err := json.Unmarshal(protocolFile, &n); err != nil {
		panic(err)
	}
	return n
}()

// putConfig writes the configuration of a case to the store.
func (f *fleet) putConfig(name string) error {
	raw, err := configFiles.ReadFile("config/" + name + ".json")
	if err != nil {
		return err
	}
	f.store.Put("op/config", raw)
	return nil
}

// sign sets the headers with which a replica answers a request.
func sign(w http.ResponseWriter, replica, requestID string) {
	w.Header().Set(wire.RequestID, requestID)
	w.Header().Set(wire.Signature, replica+"."+requestID)
}
