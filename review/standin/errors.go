package main

import "errors"

var (
	errNotAccepted = errors.New("a job was not accepted")
	errNotRunning  = errors.New("no worker runs the job")
	errNoPort      = errors.New("no port is free")
	errEnded       = errors.New("an entry host has ended by itself")
)
