package main

import "os"

func envOr(name, value string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return value
}
