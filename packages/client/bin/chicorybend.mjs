#!/usr/bin/env node
// npm links a program only if its file exists at installation, which is before the first build.
import '../dist/main.js';
