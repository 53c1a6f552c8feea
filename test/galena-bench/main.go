// Command galena-bench measures the decisions of galenahead.
package main

func main() {}
