// A day of calls and troubles, played on sockets. `docs/play.md` lists the settings and kinds of trouble.
grammar Day;

script : (setting | trouble)* EOF ;

setting : NAME '=' value ';' ;

value : NUMBER (PERCENT | UNIT)? ;

trouble : 'at' NUMBER UNIT ('for' NUMBER UNIT)? NAME amount? factor? ';' ;

amount : NUMBER PERCENT? ;

factor : 'by' NUMBER ;

UNIT : 'ms' | 's' ;
PERCENT : '%' ;
NUMBER : [0-9]+ ('.' [0-9]+)? ;
NAME : [a-z] [a-z_]* ;
COMMENT : '#' ~[\r\n]* -> skip ;
SPACE : [ \t\r\n]+ -> skip ;
