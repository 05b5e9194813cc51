package main

import (
	"embed"
	"encoding/json"
	"fmt"
)

// data holds the names of the users' protocol and the configuration of the case.
//
//go:embed data
var data embed.FS

// names are the protocol's names of paths and keys.
var names = loadNames()

type protocolNames struct{ Ready, Config, Replicas string }

func loadNames() protocolNames {
	var n protocolNames
	if err := json.Unmarshal(configuration("names"), &n); err != nil {
		panic(fmt.Sprintf("names: %v", err))
	}
	return n
}

// configuration returns an embedded file.
func configuration(name string) []byte {
	raw, err := data.ReadFile("data/" + name + ".json")
	if err != nil {
		panic(err) // the file is part of the program
	}
	return raw
}
