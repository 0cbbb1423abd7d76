package org.pomeloladder.cli

internal const val PLACEHOLDER = 1
