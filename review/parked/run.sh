#!/bin/sh
exec "$(dirname "$0")/../standin/run.sh" 3
