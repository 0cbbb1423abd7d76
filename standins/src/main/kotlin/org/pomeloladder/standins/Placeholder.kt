package org.pomeloladder.standins

internal const val PLACEHOLDER = 1
