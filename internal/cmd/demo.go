package cmd

func runDemo(*console) error { return nil }
