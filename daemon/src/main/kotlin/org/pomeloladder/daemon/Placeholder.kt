package org.pomeloladder.daemon

internal const val PLACEHOLDER = 1
