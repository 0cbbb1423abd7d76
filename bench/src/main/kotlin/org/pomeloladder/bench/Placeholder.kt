package org.pomeloladder.bench

internal const val PLACEHOLDER = 1
