#!/bin/sh
cd "$(dirname "$0")/../.." && exec target/review/case-3 review/3
