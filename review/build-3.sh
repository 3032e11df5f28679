#!/bin/sh
# Builds the stand-ins of the cases 11 and later into target/. They need no dependency.
set -e
cd "$(dirname "$0")/11/stand"
go build -o ../../../target/review-stand-3 .
